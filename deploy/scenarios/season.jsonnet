// A fleet that sockets do not reach: fifty gateways, restarts in waves, late and noisy reports.
{
  name: 'season',
  settings: '../samples/guides.jsonnet',
  lasts: 40,
  gateways: 50,
  hosts: 40,
  load: 3.3,
  noise: 0.1,
  troubles: [
    { kind: 'restarts', start: 8, lasts: 16, part: 0.5, size: 1 },
    { kind: 'late reports', start: 10, lasts: 12, size: 2 },
    { kind: 'replaced', start: 12, lasts: 10, part: 0.1, extra: 3 },
    { kind: 'short links', start: 20, lasts: 10, part: 0.2, size: 3 },
  ],
}
