(import 'season.libsonnet')('office.jsonnet', 1.0)
