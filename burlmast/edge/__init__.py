"""The gateway program: a driver free of I/O round one `logic.Gateway`, and the sockets round the driver."""
