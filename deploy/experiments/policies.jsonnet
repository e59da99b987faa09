// The product's decisions beside plain baselines, through a return of many viewers and a sag of uplinks.
{
  name: 'Decisions and baselines',
  question: 'What do the decisions earn beside choices that look at nothing, on days on which links and hosts fail?',
  scenarios: ['../scenarios/return.jsonnet', '../scenarios/three-racks.jsonnet'],
  policies: [
    'llama',
    'random lowest',
    'least streams lowest',
    'round robin lowest',
    'least streams top',
    'round robin top',
  ],
  against: { variant: 'plain', policy: 'llama' },
  seeds: 8,
}
