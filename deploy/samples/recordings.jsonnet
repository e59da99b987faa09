// Recorded calls in three buildings: one plan, everything may be set up again. Shape of tacoma-campus.
local base = import 'base.libsonnet';
{
  name: 'recordings',
  zones: ['north', 'south', 'annex'],
  gateways: 3,
  ladder: base.ladder,
  plans: [
    { name: 'recorded', revenue: 1, startup_target_ms: 800, abandon_ms: 3000 },
  ],
  fleet: {
    cells: 12,
    racks: 3,
    link_kb: 9000,
    uplink_kb: 26000,
    streams_by_kind: [40],
    note_lag_ms: 800,
  },
  rules: base.rules,
  titles: base.titles(12, 4, 24, 'call'),
  stand_ins: base.stand_ins { a_second: 9 },
}
