// The uplinks of three racks in ten sag to a third, slowly, and come back at once, while another program
// takes its turns on some hosts' links.
{
  name: 'three racks in ten',
  settings: '../samples/recordings.jsonnet',
  lasts: 40,
  load: 1.3,
  capacity: [
    { course: { type: 'sag', start: 10, lasts: 16, part: 0.33, falls: 4 }, part_of_racks: 0.3 },
    { course: { type: 'on and off', start: 6, lasts: 24, part: 0.5, period: 3 }, part_of_hosts: 0.2 },
  ],
}
