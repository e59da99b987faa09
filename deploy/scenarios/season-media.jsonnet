(import 'season.libsonnet')('media.jsonnet', 1.0)
