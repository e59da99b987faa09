// Parts of the decisions left out, one at a time, on days that need them.
{
  name: 'Parts left out',
  question: 'Which parts of the decisions earn their lines here, and does the model order them as the bench does?',
  scenarios: ['../scenarios/season-campus.jsonnet', '../scenarios/season-media.jsonnet', '../scenarios/season-office.jsonnet'],
  policies: [
    'llama',
    'notes as told',
    'drops together',
    'rises together',
    'no quiet after a rise',
    'never asks',
    'no inferred uplinks',
    'one try',
  ],
  against: { variant: 'plain', policy: 'llama' },
  seeds: 8,
}
