"""HTTP/1.1 on `asyncio.BufferedProtocol`: a server and a pooled client. Bytes and framing only, no
decision."""
