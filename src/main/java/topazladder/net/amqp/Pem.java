package topazladder.net.amqp;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.KeyStore;
import java.security.PrivateKey;
import java.security.cert.Certificate;
import java.security.cert.CertificateException;
import java.security.cert.CertificateFactory;
import java.security.cert.X509Certificate;
import java.security.spec.InvalidKeySpecException;
import java.security.spec.PKCS8EncodedKeySpec;
import java.util.Base64;
import java.util.Collection;
import java.util.List;
import javax.net.ssl.KeyManagerFactory;
import javax.net.ssl.SSLContext;
import javax.net.ssl.TrustManager;
import javax.net.ssl.TrustManagerFactory;
import javax.net.ssl.X509TrustManager;
import topazladder.config.BrokerSettings.Tls;
import topazladder.config.InvalidSettingsException;

/** Makes a TLS context of PEM texts, for the client library, which takes nothing else. */
final class Pem {
    private static final char[] IN_MEMORY = {};

    private Pem() {}

    static SSLContext context(Tls tls) {
        try {
            CertificateFactory certificates = CertificateFactory.getInstance("X.509");
            KeyStore trust = empty();
            int i = 0;
            for (Certificate c : read(certificates, tls.trustedCertificates())) {
                trust.setCertificateEntry("trusted" + i++, c);
            }
            TrustManagerFactory trusting = TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
            trusting.init(trust);
            KeyManagerFactory keys = null;
            if (tls.privateKey() != null) {
                KeyStore mine = empty();
                mine.setKeyEntry("own", key(new String(tls.privateKey().bytes(), StandardCharsets.US_ASCII)), IN_MEMORY,
                        read(certificates, tls.certificateChain()).toArray(Certificate[]::new));
                keys = KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm());
                keys.init(mine, IN_MEMORY);
            }
            SSLContext context = SSLContext.getInstance("TLSv1.3");
            X509TrustManager own = (X509TrustManager) trusting.getTrustManagers()[0];
            context.init(keys == null ? null : keys.getKeyManagers(), new TrustManager[] {
                    tls.serverName().isEmpty() ? own : new Named(own, tls.serverName())}, null);
            return context;
        } catch (GeneralSecurityException | IOException | IllegalArgumentException e) {
            throw new InvalidSettingsException(
                    "tls: the certificates or the key can't be used: " + e.getClass().getSimpleName());
        }
    }

    /** Takes a broker at a numeric address by the name that its certificate bears. */
    private record Named(X509TrustManager trust, String name) implements X509TrustManager {
        @Override
        public void checkClientTrusted(X509Certificate[] chain, String kind) throws CertificateException {
            trust.checkClientTrusted(chain, kind);
        }

        @Override
        public void checkServerTrusted(X509Certificate[] chain, String kind) throws CertificateException {
            trust.checkServerTrusted(chain, kind);
            Collection<List<?>> names = chain[0].getSubjectAlternativeNames();
            // A name of type 2 is that of a host.
            if (names == null || names.stream().noneMatch(n -> n.get(0).equals(2)
                    && name.equalsIgnoreCase(String.valueOf(n.get(1))))) {
                throw new CertificateException("the certificate does not bear the name " + name);
            }
        }

        @Override
        public X509Certificate[] getAcceptedIssuers() {
            return trust.getAcceptedIssuers();
        }
    }

    private static KeyStore empty() throws GeneralSecurityException, IOException {
        KeyStore store = KeyStore.getInstance("PKCS12");
        store.load(null, null);
        return store;
    }

    private static Collection<? extends Certificate> read(CertificateFactory factory, String pem)
            throws GeneralSecurityException {
        return factory.generateCertificates(new ByteArrayInputStream(pem.getBytes(StandardCharsets.US_ASCII)));
    }

    private static PrivateKey key(String pem) throws GeneralSecurityException {
        byte[] bytes = Base64.getMimeDecoder().decode(pem.replaceAll("-----[A-Z ]+-----", ""));
        for (String kind : List.of("EC", "RSA", "Ed25519")) {
            try {
                return KeyFactory.getInstance(kind).generatePrivate(new PKCS8EncodedKeySpec(bytes));
            } catch (InvalidKeySpecException e) {
                continue; // of another kind
            }
        }
        throw new InvalidKeySpecException("of no known kind");
    }
}
