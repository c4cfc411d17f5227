import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.Map;

/** A small HTTP/1.1 server and client over loopback sockets. */
final class Http {
    private Http() {}

    static final class Request {
        final String method;
        final String path;
        final String query;
        final byte[] body;

        Request(String method, String target, byte[] body) {
            this.method = method;
            int q = target.indexOf('?');
            this.path = q < 0 ? target : target.substring(0, q);
            this.query = q < 0 ? "" : target.substring(q + 1);
            this.body = body;
        }

        String param(String name, String otherwise) {
            for (String part : query.split("&")) if (part.startsWith(name + "=")) return part.substring(name.length() + 1);
            return otherwise;
        }
    }

    static final class Response {
        final int status;
        final byte[] body;
        String retryAfter;

        Response(int status, byte[] body) {
            this.status = status;
            this.body = body;
        }

        Map<String, Object> map() {
            try {
                return Cbor.decodeMap(body);
            } catch (RuntimeException e) {
                return Collections.emptyMap();
            }
        }
    }

    static Response reply(int status, Object body) {
        return new Response(status, Cbor.encode(body));
    }

    /** Returns the response; null closes the connection without one. */
    interface Handler {
        Response handle(Request request) throws Exception;
    }

    static final class Server implements AutoCloseable {
        private final ServerSocket socket;
        private final Handler handler;

        Server(Handler handler) throws IOException {
            this.handler = handler;
            socket = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
            Thread t = new Thread(null, this::accept, "accept", 256 * 1024);
            t.setDaemon(true);
            t.start();
        }

        String address() {
            return "127.0.0.1:" + socket.getLocalPort();
        }

        private void accept() {
            while (!socket.isClosed()) {
                try {
                    Socket s = socket.accept();
                    Thread t = new Thread(null, () -> serve(s), "serve", 512 * 1024);
                    t.setDaemon(true);
                    t.start();
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket s) {
            try (Socket c = s) {
                c.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(c.getInputStream(), 16 * 1024);
                while (true) {
                    Head head = Head.read(in);
                    if (head == null) return;
                    byte[] body = in.readNBytes(head.length);
                    String[] line = head.first.split(" ");
                    Response r;
                    try {
                        r = handler.handle(new Request(line[0], line[1], body));
                    } catch (RuntimeException e) {
                        r = reply(400, Map.of("error", String.valueOf(e)));
                    }
                    if (r == null) return;
                    String close = head.close ? "Connection: close\r\n" : "";
                    byte[] top =
                        ("HTTP/1.1 " + r.status + " x\r\nContent-Type: application/cbor\r\n" + close + "Content-Length: "
                            + r.body.length + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1);
                    ByteArrayOutputStream out = new ByteArrayOutputStream(top.length + r.body.length);
                    out.write(top);
                    out.write(r.body);
                    c.getOutputStream().write(out.toByteArray());
                    if (head.close) return;
                }
            } catch (Exception e) {
                // The other side has closed the connection.
            }
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // Nothing depends on it.
            }
        }
    }

    private static final class Head {
        String first;
        int length = -1;
        boolean close;
        String retryAfter;

        static Head read(InputStream in) throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            Head head = new Head();
            while (true) {
                int b = in.read();
                if (b < 0) return null;
                if (b != '\n') {
                    if (b != '\r') line.write(b);
                    continue;
                }
                String text = line.toString(StandardCharsets.ISO_8859_1);
                line.reset();
                if (text.isEmpty()) {
                    if (head.first == null) continue;
                    if (head.length < 0) head.length = 0;
                    return head;
                }
                if (head.first == null) {
                    head.first = text;
                    continue;
                }
                String lower = text.toLowerCase();
                if (lower.startsWith("content-length:")) head.length = Integer.parseInt(text.substring(15).trim());
                if (lower.startsWith("connection:")) head.close = lower.contains("close");
                if (lower.startsWith("retry-after:")) head.retryAfter = text.substring(12).trim();
            }
        }
    }

    /** Sends one request over a connection of its own. Returns null if there is no response in time. */
    static Response call(String address, String method, String path, Object body, int timeoutMs) {
        int colon = address.lastIndexOf(':');
        long end = System.nanoTime() + timeoutMs * 1_000_000L;
        try (Socket s = new Socket()) {
            s.setTcpNoDelay(true);
            s.connect(new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))), Math.min(timeoutMs, 1000));
            byte[] bytes = body == null ? new byte[0] : Cbor.encode(body);
            byte[] top =
                (method + " " + path + " HTTP/1.1\r\nHost: " + address + "\r\nConnection: close\r\nContent-Type: application/cbor\r\n"
                    + "Content-Length: " + bytes.length + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1);
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            out.write(top);
            out.write(bytes);
            s.getOutputStream().write(out.toByteArray());
            s.setSoTimeout((int) Math.max(1, (end - System.nanoTime()) / 1_000_000L));
            InputStream in = new BufferedInputStream(s.getInputStream(), 16 * 1024);
            Head head = Head.read(in);
            if (head == null) return null;
            Response r = new Response(Integer.parseInt(head.first.split(" ")[1]), in.readNBytes(head.length));
            r.retryAfter = head.retryAfter;
            return System.nanoTime() > end ? null : r;
        } catch (IOException | RuntimeException e) {
            return null;
        }
    }
}
