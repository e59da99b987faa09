// Guides at size; hosts say what their uplinks carry, late.
local atsize = import 'atsize.libsonnet';
atsize(import 'guides.jsonnet', 80, 40, 14, 0.7, true) { name: 'office' }
