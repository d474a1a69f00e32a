"""HTTP requests that hold any bytes."""

import socket


def raw_call(address, method, path, body=b"", headers=b"", host=b"Host: h\r\n", length=True):
    """Returns the status of the response to a request of any bytes; 0 if there is none. Without
    `length`, `headers` must say how the body ends."""
    if length:
        headers += b"Content-Length: %d\r\n" % len(body)
    ip, port = address.split(":")
    try:
        with socket.create_connection((ip, int(port)), timeout=3) as connection:
            connection.sendall(
                method + b" " + path + b" HTTP/1.1\r\n" + host + headers + b"\r\n" + body)
            received = connection.recv(65536)
    except OSError:
        return 0
    return int(received.split(b" ")[1]) if received.startswith(b"HTTP/1.1 ") else 0
