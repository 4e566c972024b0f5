"""TLS for callers, with certificate and key that change in service: new connections get the new ones."""

from __future__ import annotations

from OpenSSL import SSL, crypto
from twisted.internet import ssl


class Context(ssl.ContextFactory):
    """What listenSSL asks for each new connection.

    Raises:
        OSError: A file cannot be read.
        ValueError: A file cannot be used.
    """

    def __init__(self, certificate: str, key: str) -> None:
        self.certificate, self.key = certificate, key
        self.load()

    def load(self) -> None:
        """Read both files again; one that cannot be used leaves the old pair in force.

        Raises:
            OSError: A file cannot be read.
            ValueError: A file cannot be used.
        """
        try:
            with open(self.certificate, "rb") as source:
                text = source.read()
            with open(self.key, "rb") as source:
                key = crypto.load_privatekey(crypto.FILETYPE_PEM, source.read())
            parts = [b"-----BEGIN" + part for part in text.split(b"-----BEGIN")[1:]]
            certificates = [crypto.load_certificate(crypto.FILETYPE_PEM, part) for part in parts]
            if not certificates:
                raise ValueError(f"{self.certificate} holds no certificate")
            options = ssl.CertificateOptions(
                privateKey=key,
                certificate=certificates[0],
                extraCertChain=certificates[1:],
                acceptableProtocols=[b"h2"],
                raiseMinimumTo=ssl.TLSVersion.TLSv1_2,
            )
            context = options.getContext()
            context.use_certificate(certificates[0])
            context.check_privatekey()
        except (SSL.Error, crypto.Error) as fault:
            raise ValueError(f"certificate or key cannot be used: {fault}") from None
        self.current: SSL.Context = context

    def getContext(self) -> SSL.Context:
        """See ssl.ContextFactory."""
        return self.current
