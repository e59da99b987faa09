// A busy minute and a half at size: restarts in waves, errors, slow and replaced hosts, a sag of three racks in ten.
function(settings, load) {
  name: std.strReplace(settings, '.jsonnet', ''),
  settings: '../samples/' + settings,
  lasts: 90,
  load: load,
  noise: 0.05,
  troubles: [
    { kind: 'restarts', start: 20, lasts: 24, part: 0.6, size: 0.5 },
    { kind: 'fast errors', start: 25, lasts: 15, part: 0.1, size: 0.6 },
    { kind: 'slow', start: 35, lasts: 20, part: 0.12, size: 2.5 },
    { kind: 'replaced', start: 40, lasts: 15, part: 0.08, extra: 3 },
    { kind: 'standstill', start: 50, lasts: 10, part: 0.08 },
    { kind: 'burst', start: 60, lasts: 12, size: 1.5 },
  ],
  capacity: [{ course: { type: 'sag', start: 45, lasts: 25, part: 0.5, falls: 3 }, part_of_racks: 0.3 }],
}
