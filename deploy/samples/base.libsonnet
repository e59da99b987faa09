// What the samples have in common. All figures are invented.
{
  ladder: { rates_kb: [200, 420, 880, 1800], earns: [0.2, 0.5, 0.75, 1.0] },
  titles(cells, copies, count, prefix):: [
    { name: '%s-%02d' % [prefix, n], home: (n * 5) % cells, copies: copies }
    for n in std.range(1, count)
  ],
  rules: {
    drain_grace_ms: 1000,
    cold_share: 0.3,
    warm_after_ms: 5000,
    fall_multiple: 3,
    fall_span_ms: 1000,
  },
  stand_ins: { hosts: 12, set_up_ms: 15, tell_every_ms: 2000, lasts_s: [4, 14] },
}
