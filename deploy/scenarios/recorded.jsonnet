// Viewers and an uplink as they were recorded, beside a list that fails.
{
  name: 'recorded',
  settings: '../samples/training.jsonnet',
  lasts: 12,
  troubles: [{ kind: 'failing list', start: 3, lasts: 5 }],
  viewers: { trace: 'recorded-viewers.ndjson' },
  capacity: [{ course: { type: 'recorded', file: 'recorded-uplink.ndjson' }, racks: [1] }],
}
