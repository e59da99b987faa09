// A release of other settings: gateway 0 first, then in two waves. Checked by `burlmast check`.
{
  name: 'training, dearer exams',
  settings: 'dearer-exams.jsonnet',
  canary: [0],
  waves: [0.5, 1.0],
  watch: { canary_s: 20, wave_s: 10, least: 20 },
  lag_s: 30,
  harm: 'back',
}
