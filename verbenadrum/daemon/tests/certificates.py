"""Creates temporary certificates for tests of TLS."""

import datetime
import pathlib

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec

_DAY = datetime.timedelta(days=1)


class Authority:
    """Certificate authority that writes its files to ``folder``; ``ca_file`` is its certificate."""

    def __init__(self, *, folder: pathlib.Path, name: str = "test authority") -> None:
        self._folder = folder
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._name = _name(name)
        self.ca_file = folder / f"{name.replace(' ', '-')}.pem"
        certificate = self._sign(self._name, self._key.public_key(), is_authority=True)
        self.ca_file.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))

    def issue(self, name: str) -> tuple[pathlib.Path, pathlib.Path]:
        """Issue a certificate with the common name ``name``; return its file and its key's file."""
        key = ec.generate_private_key(ec.SECP256R1())
        certificate = self._sign(_name(name), key.public_key(), is_authority=False)
        cert_file = self._folder / f"{name}.pem"
        key_file = self._folder / f"{name}.key"
        cert_file.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
        key_file.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return cert_file, key_file

    def _sign(
        self, subject: x509.Name, public_key: ec.EllipticCurvePublicKey, *, is_authority: bool
    ) -> x509.Certificate:
        now = datetime.datetime.now(datetime.UTC)
        builder = x509.CertificateBuilder(
            issuer_name=self._name,
            subject_name=subject,
            public_key=public_key,
            serial_number=x509.random_serial_number(),
            not_valid_before=now - _DAY,
            not_valid_after=now + _DAY,
        ).add_extension(x509.BasicConstraints(ca=is_authority, path_length=None), critical=True)
        return builder.sign(self._key, hashes.SHA256())


def _name(common_name: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, common_name)])
