// Station clips and route guides on three floors: long patience, five tries, uplinks that carry less than their links.
// Shape of fortaleza-office.
local base = import 'base.libsonnet';
{
  name: 'guides',
  zones: ['terreo', 'primeiro', 'segundo'],
  gateways: 3,
  ladder: { rates_kb: [250, 520, 1000, 2100, 2600], earns: [0.2, 0.45, 0.7, 0.9, 1.0] },
  plans: [
    { name: 'station-clip', revenue: 1, startup_target_ms: 800, abandon_ms: 4000, top: 3, scale: 0.7 },
    { name: 'route-audio', revenue: 2, startup_target_ms: 1500, abandon_ms: 5000, scale: 1.4 },
  ],
  fleet: {
    cells: 12,
    racks: 4,
    link_kb: 9000,
    uplink_kb: 19000,
    streams_by_kind: [40, 30],
    note_lag_ms: 1000,
  },
  allowed: { tries: 5 },
  rules: base.rules { fall_span_ms: 1500 },
  titles: base.titles(12, 4, 20, 'guide'),
  stand_ins: base.stand_ins { a_second: 7 },
}
