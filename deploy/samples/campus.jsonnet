// Recordings at size; nobody says what uplinks carry, and they carry less than their links.
local atsize = import 'atsize.libsonnet';
atsize(import 'recordings.jsonnet', 80, 40, 14, 0.68, false) { name: 'campus' }
