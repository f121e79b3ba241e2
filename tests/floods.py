"""One client that sends at full speed, and how long others wait beside it."""

import socket
import time
from collections.abc import Callable, Iterator
from threading import Thread

ASKED = 20  # requests of others
BEGIN_S = 3.0  # from the start of the flood until others ask


def send_all(sock: socket.socket, pieces: Iterator[bytes]) -> None:
    """Sends until the connection ends."""
    for piece in pieces:
        try:
            sock.sendall(piece)
        except OSError:
            return


def read_all(sock: socket.socket) -> None:
    """Reads until the connection ends."""
    try:
        while sock.recv(1 << 20):
            pass
    except OSError:
        return


def waits_beside(
    address: tuple[str, int], hello: bytes, flood: Iterator[bytes], ask: Callable[[], float]
) -> list[float]:
    """How many seconds each of some small requests of others takes while one client sends `hello` and the flood."""
    sock = socket.create_connection(address)
    sock.sendall(hello)
    threads = [Thread(target=send_all, args=(sock, flood)), Thread(target=read_all, args=(sock,))]
    for thread in threads:
        thread.start()
    time.sleep(BEGIN_S)
    try:
        return [ask() for _ in range(ASKED)]
    finally:
        sock.shutdown(socket.SHUT_RDWR)
        for thread in threads:
            thread.join()
        sock.close()
