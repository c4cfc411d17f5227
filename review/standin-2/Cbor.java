import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** CBOR for maps, lists, texts, numbers, booleans and null, and the size of a value in JSON. */
final class Cbor {
    private Cbor() {}

    static byte[] encode(Object value) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(512);
        write(out, value);
        return out.toByteArray();
    }

    private static void head(ByteArrayOutputStream out, int major, long n) {
        int m = major << 5;
        if (n < 24) {
            out.write(m | (int) n);
        } else if (n < 0x100) {
            out.write(m | 24);
            out.write((int) n);
        } else if (n < 0x10000) {
            out.write(m | 25);
            big(out, n, 2);
        } else if (n < 0x100000000L) {
            out.write(m | 26);
            big(out, n, 4);
        } else {
            out.write(m | 27);
            big(out, n, 8);
        }
    }

    private static void big(ByteArrayOutputStream out, long n, int bytes) {
        for (int i = bytes - 1; i >= 0; i--) out.write((int) (n >>> (8 * i)) & 0xff);
    }

    private static void write(ByteArrayOutputStream out, Object v) {
        if (v == null) {
            out.write(0xf6);
        } else if (v instanceof Boolean) {
            out.write((Boolean) v ? 0xf5 : 0xf4);
        } else if (v instanceof Double) {
            out.write(0xfb);
            big(out, Double.doubleToLongBits((Double) v), 8);
        } else if (v instanceof Number) {
            long n = ((Number) v).longValue();
            if (n >= 0) head(out, 0, n); else head(out, 1, -1 - n);
        } else if (v instanceof String) {
            byte[] b = ((String) v).getBytes(StandardCharsets.UTF_8);
            head(out, 3, b.length);
            out.write(b, 0, b.length);
        } else if (v instanceof Map) {
            Map<?, ?> map = (Map<?, ?>) v;
            head(out, 5, map.size());
            for (Map.Entry<?, ?> e : map.entrySet()) {
                write(out, e.getKey());
                write(out, e.getValue());
            }
        } else if (v instanceof List) {
            List<?> list = (List<?>) v;
            head(out, 4, list.size());
            for (Object o : list) write(out, o);
        } else {
            throw new IllegalArgumentException("no CBOR form: " + v.getClass());
        }
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> decodeMap(byte[] bytes) {
        Object v = bytes.length == 0 ? new LinkedHashMap<String, Object>() : new Reader(bytes).read();
        if (!(v instanceof Map)) throw new IllegalArgumentException("not a map");
        return (Map<String, Object>) v;
    }

    private static final class Reader {
        private static final Object BREAK = new Object();
        private final byte[] b;
        private int p;

        Reader(byte[] b) {
            this.b = b;
        }

        private long number(int info) {
            if (info < 24) return info;
            int n = 1 << (info - 24);
            long v = 0;
            for (int i = 0; i < n; i++) v = v << 8 | b[p++] & 0xff;
            return v;
        }

        Object read() {
            int first = b[p++] & 0xff;
            int major = first >> 5;
            int info = first & 31;
            switch (major) {
                case 0: return number(info);
                case 1: return -1 - number(info);
                case 2:
                case 3: return text(info);
                case 4: return list(info);
                case 5: return map(info);
                case 6: number(info); return read();
                default: return simple(info);
            }
        }

        private String text(int info) {
            if (info == 31) {
                StringBuilder s = new StringBuilder();
                for (Object o = read(); o != BREAK; o = read()) s.append(o);
                return s.toString();
            }
            int n = (int) number(info);
            String s = new String(b, p, n, StandardCharsets.UTF_8);
            p += n;
            return s;
        }

        private List<Object> list(int info) {
            List<Object> list = new ArrayList<>();
            if (info == 31) {
                for (Object o = read(); o != BREAK; o = read()) list.add(o);
                return list;
            }
            long n = number(info);
            for (long i = 0; i < n; i++) list.add(read());
            return list;
        }

        private Map<String, Object> map(int info) {
            Map<String, Object> map = new LinkedHashMap<>();
            if (info == 31) {
                for (Object k = read(); k != BREAK; k = read()) map.put((String) k, read());
                return map;
            }
            long n = number(info);
            for (long i = 0; i < n; i++) {
                String key = (String) read();
                map.put(key, read());
            }
            return map;
        }

        private Object simple(int info) {
            switch (info) {
                case 20: return false;
                case 21: return true;
                case 22:
                case 23: return null;
                case 25: return half((int) number(25));
                case 26: return (double) Float.intBitsToFloat((int) number(26));
                case 27: return Double.longBitsToDouble(number(27));
                case 31: return BREAK;
                default: throw new IllegalArgumentException("simple value " + info);
            }
        }

        private static double half(int h) {
            int exp = h >> 10 & 31;
            int mant = h & 1023;
            double v = exp == 0 ? mant * Math.pow(2, -24) : (mant + 1024) * Math.pow(2, exp - 25);
            return (h & 0x8000) == 0 ? v : -v;
        }
    }

    /** The length of the value as JSON, in which form the pages count sizes. */
    static int jsonSize(Object v) {
        if (v == null) return 4;
        if (v instanceof Boolean) return (Boolean) v ? 4 : 5;
        if (v instanceof Number) return v.toString().length();
        if (v instanceof String) return 2 + ((String) v).getBytes(StandardCharsets.UTF_8).length;
        int size = 2;
        if (v instanceof Map) {
            for (Map.Entry<?, ?> e : ((Map<?, ?>) v).entrySet()) size += jsonSize(e.getKey()) + 2 + jsonSize(e.getValue());
            return size - (((Map<?, ?>) v).isEmpty() ? 0 : 1);
        }
        for (Object o : (List<?>) v) size += jsonSize(o) + 1;
        return size - (((List<?>) v).isEmpty() ? 0 : 1);
    }
}
