// A sample's plans, ladder and rules for a fleet that sockets on one machine do not reach: racks of eight hosts,
// a cell a host, two titles a host, playbacks of most of a minute.
function(sample, gateways, hosts, a_second, uplink_part, tell_uplinks) sample {
  local racks = std.floor(hosts / 8),
  gateways: gateways,
  fleet+: {
    cells: hosts,
    racks: racks,
    uplink_kb: sample.fleet.link_kb * hosts / racks * uplink_part,
  },
  titles: [{ name: 'title-%03d' % n, home: (n * 7) % hosts, copies: 4 } for n in std.range(1, 2 * hosts)],
  stand_ins+: { hosts: hosts, a_second: a_second, lasts_s: [25, 55], smooth_ms: 1500, tell_uplinks: tell_uplinks },
}
