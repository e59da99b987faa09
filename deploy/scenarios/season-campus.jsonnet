(import 'season.libsonnet')('campus.jsonnet', 1.0)
