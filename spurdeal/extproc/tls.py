"""TLS for callers, with certificate reload: new connections use the new certificate and key."""

from __future__ import annotations

from OpenSSL import SSL, crypto
from twisted.internet import ssl


class ReloadableContext(ssl.ContextFactory):
    """A context factory whose certificate and key can be reloaded.

    Args:
        certificate: Path of a PEM file with the certificate chain, the server's own first.
        key: Path of a PEM file with the private key.

    Raises:
        OSError: A file cannot be read.
        ValueError: A file is invalid, or key and certificate don't match.
    """

    def __init__(self, certificate: str, key: str) -> None:
        self.certificate, self.key = certificate, key
        self.load()

    def load(self) -> None:
        """Reload both files; if one is invalid, the old pair stays in use.

        Raises:
            OSError: A file cannot be read.
            ValueError: A file is invalid, or key and certificate don't match.
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
        except (SSL.Error, crypto.Error) as error:
            raise ValueError(f"certificate or key cannot be used: {error}") from None
        self.current: SSL.Context = context

    def getContext(self) -> SSL.Context:
        """Return the current context; called by Twisted for each new connection."""
        return self.current
