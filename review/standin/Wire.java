import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** CBOR over HTTP/1.1 on loopback, as the protocol page describes it. */
final class Wire {
    static final int MAX_BODY_BYTES = 64 * 1024;
    private static final ObjectMapper CBOR = new ObjectMapper(new CBORFactory());
    private static final ObjectMapper JSON = new ObjectMapper();
    static final ExecutorService POOL =
        Executors.newCachedThreadPool(
            task -> {
                Thread thread = new Thread(task, "standin");
                thread.setDaemon(true);
                return thread;
            });
    private static final HttpClient HTTP =
        HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(Duration.ofMillis(500)).build();

    private Wire() {}

    /** An answer: the status and the decoded body, which is empty if there is none. */
    record Answer(int status, Map<String, Object> body, String retryAfter) {}

    interface Handler {
        Answer handle(String method, String path, Map<String, String> query, byte[] body) throws Exception;
    }

    static Answer answer(int status, Object... fields) {
        return new Answer(status, map(fields), null);
    }

    static Map<String, Object> map(Object... fields) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < fields.length; i += 2) map.put((String) fields[i], fields[i + 1]);
        return map;
    }

    static byte[] encode(Object value) {
        try {
            return CBOR.writeValueAsBytes(value);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> decode(byte[] bytes) throws IOException {
        return bytes.length == 0 ? Map.of() : CBOR.readValue(bytes, Map.class);
    }

    /** The size in JSON, in which the pages count all size limits. */
    static int jsonBytes(Object value) {
        try {
            return JSON.writeValueAsBytes(value).length;
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    static String json(Object value) {
        try {
            return JSON.writeValueAsString(value);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Serves requests on a free loopback port. An answer of null closes the connection without a response. */
    static HttpServer serve(Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 1024);
        server.setExecutor(POOL);
        server.createContext("/", exchange -> handle(handler, exchange));
        server.start();
        return server;
    }

    private static void handle(Handler handler, HttpExchange exchange) throws IOException {
        try {
            byte[] body;
            try (InputStream input = exchange.getRequestBody()) {
                body = input.readAllBytes();
            }
            URI uri = exchange.getRequestURI();
            Map<String, String> query = new LinkedHashMap<>();
            if (uri.getRawQuery() != null) {
                for (String part : uri.getRawQuery().split("&")) {
                    int equals = part.indexOf('=');
                    query.put(part.substring(0, equals), part.substring(equals + 1));
                }
            }
            Answer answer = handler.handle(exchange.getRequestMethod(), uri.getPath(), query, body);
            if (answer == null) return;
            byte[] response = encode(answer.body());
            exchange.getResponseHeaders().set("Content-Type", "application/cbor");
            exchange.sendResponseHeaders(answer.status(), response.length);
            exchange.getResponseBody().write(response);
        } catch (IOException e) {
            // The client has closed the connection.
        } catch (Exception e) {
            e.printStackTrace();
        } finally {
            exchange.close();
        }
    }

    /** Sends a request. Returns null if there was no response in time. */
    static Answer call(String method, String address, String path, Object body, double timeoutSeconds) {
        try {
            HttpRequest.BodyPublisher publisher =
                body == null
                    ? HttpRequest.BodyPublishers.noBody()
                    : HttpRequest.BodyPublishers.ofByteArray(encode(body));
            HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + address + path))
                    .timeout(Duration.ofMillis((long) (timeoutSeconds * 1000)))
                    .method(method, publisher)
                    .build();
            HttpResponse<byte[]> response = HTTP.send(request, HttpResponse.BodyHandlers.ofByteArray());
            return new Answer(
                response.statusCode(), decode(response.body()), response.headers().firstValue("Retry-After").orElse(null));
        } catch (IOException e) {
            return null;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return null;
        }
    }

    @SuppressWarnings("unchecked")
    static List<Map<String, Object>> maps(Object value) {
        return value == null ? new ArrayList<>() : (List<Map<String, Object>>) value;
    }

    static long number(Object value) {
        return value == null ? 0 : ((Number) value).longValue();
    }

    static double amount(Object value) {
        return value == null ? 0.0 : ((Number) value).doubleValue();
    }

    static void sleep(double seconds) {
        try {
            Thread.sleep((long) (seconds * 1000));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
