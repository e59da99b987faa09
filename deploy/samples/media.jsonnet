// Training at size; uplinks carry more than their links, load is told only when asked for.
local atsize = import 'atsize.libsonnet';
atsize(import 'training.jsonnet', 80, 40, 14, 1.2, false) { name: 'media' }
