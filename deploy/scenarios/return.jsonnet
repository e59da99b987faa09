// A third of the hosts dies at once while more viewers come: many are rejected together and come again.
{
  name: 'return',
  settings: '../samples/training.jsonnet',
  lasts: 30,
  troubles: [
    { kind: 'crash', start: 8, lasts: 8, part: 0.34 },
    { kind: 'burst', start: 6, lasts: 8, size: 2.5 },
  ],
  viewers: { honour: 0.6, early: 0.1, pause: { type: 'lognormal', median: 0.6, sigma: 0.5, least: 0.1, most: 5 } },
}
