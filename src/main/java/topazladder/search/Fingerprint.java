package topazladder.search;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A hash of all that objects hold, by their fields: the program's own state machines have no need to tell of themselves
 * for a search's sake. Sets and maps without an order count whatever order they are in; what is met twice in one object
 * counts by where it was met first.
 */
final class Fingerprint {
    private static final Map<Class<?>, Field[]> FIELDS = new ConcurrentHashMap<>(); // as many as classes met

    private final HashStream64 stream;
    private final IdentityHashMap<Object, Integer> met = new IdentityHashMap<>();

    private Fingerprint() {
        stream = Hashing.komihash5_0().hashStream();
    }

    static long of(Collection<?> parts) {
        Fingerprint f = new Fingerprint();
        parts.forEach(f::put);
        return f.stream.getAsLong();
    }

    private void put(Object o) {
        if (o == null) {
            stream.putByte((byte) 0);
        } else if (o instanceof String s) {
            stream.putByte((byte) 1).putString(s);
        } else if (o instanceof Double d) {
            stream.putByte((byte) 2).putLong(Double.doubleToLongBits(d + 0.0));
        } else if (o instanceof Number n) {
            stream.putByte((byte) 3).putLong(n.longValue());
        } else if (o instanceof Boolean b) {
            stream.putByte((byte) 4).putBoolean(b);
        } else if (o instanceof Enum<?> e) {
            stream.putByte((byte) 5).putInt(e.ordinal());
        } else if (o instanceof Collection<?> c) {
            collection(c);
        } else if (o instanceof Map<?, ?> m) {
            map(m);
        } else if (o.getClass().getName().startsWith("topazladder.")) {
            own(o);
        } else if (!o.getClass().getName().contains("Lambda")) {
            throw new IllegalArgumentException("nothing is known of the state of a " + o.getClass());
        }
    }

    private void collection(Collection<?> c) {
        stream.putByte((byte) 6).putInt(c.size());
        if (c instanceof Set<?>) {
            unordered(c);
        } else {
            c.forEach(this::put);
        }
    }

    private void map(Map<?, ?> m) {
        stream.putByte((byte) 7).putInt(m.size());
        if (m instanceof LinkedHashMap<?, ?>) {
            m.forEach((k, v) -> {
                put(k);
                put(v);
            });
        } else {
            List<List<Object>> pairs = new ArrayList<>();
            m.forEach((k, v) -> pairs.add(Arrays.asList(k, v)));
            unordered(pairs);
        }
    }

    private void unordered(Collection<?> c) {
        long[] hashes = new long[c.size()];
        int i = 0;
        for (Object o : c) {
            hashes[i++] = of(Arrays.asList(o));
        }
        Arrays.sort(hashes);
        for (long h : hashes) {
            stream.putLong(h);
        }
    }

    private void own(Object o) {
        Integer before = met.putIfAbsent(o, met.size());
        if (before != null) {
            stream.putByte((byte) 8).putInt(before);
            return;
        }
        stream.putByte((byte) 9);
        for (Field f : FIELDS.computeIfAbsent(o.getClass(), Fingerprint::fields)) {
            try {
                put(f.get(o));
            } catch (IllegalAccessException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    private static Field[] fields(Class<?> of) {
        List<Field> all = new ArrayList<>();
        for (Class<?> c = of; c != Object.class && c != Record.class && c != null; c = c.getSuperclass()) {
            for (Field f : c.getDeclaredFields()) {
                // What an inner class is in is a part of its own, where it is one at all.
                if (!Modifier.isStatic(f.getModifiers()) && !f.isSynthetic()) {
                    f.setAccessible(true);
                    all.add(f);
                }
            }
        }
        return all.toArray(Field[]::new);
    }
}
