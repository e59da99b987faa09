// Explainers and training in two rooms: plans of different worth, load told only when asked for, short grace.
// Shape of takstrom-media, with one plan that must not be set up twice and one with a floor and seats.
local base = import 'base.libsonnet';
{
  name: 'training',
  zones: ['room-a', 'room-b'],
  gateways: 3,
  ladder: base.ladder,
  plans: [
    { name: 'explainer', revenue: 1, startup_target_ms: 800, abandon_ms: 3000 },
    { name: 'onboarding', revenue: 3, startup_target_ms: 1000, abandon_ms: 3000, scale: 1.2, floor: 1, seats: 6 },
    { name: 'exam', revenue: 2, startup_target_ms: 1000, abandon_ms: 3000, repeat: 'never' },
  ],
  fleet: {
    cells: 12,
    racks: 3,
    link_kb: 9000,
    uplink_kb: 26000,
    streams_by_kind: [40, 30],
    reports: false,
    note_lag_ms: 600,
  },
  allowed: { tries: 4 },
  rules: base.rules {
    drain_grace_ms: 500,
    fall_multiple: 2,
    further_free: 3,
    further_ratio: 0.1,
    further_span_ms: 5000,
  },
  titles: base.titles(12, 5, 18, 'unit'),
  stand_ins: base.stand_ins {
    a_second: 9,
    recordings: [{ name: 'recorded-call@1', home: 3, copies: 4 }],
  },
}
