"""The bench's wire: a codec and a host of many gateways. It only translates."""
