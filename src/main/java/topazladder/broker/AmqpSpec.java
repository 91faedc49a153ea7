package topazladder.broker;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * The methods of AMQP 0-9-1 that the stand-in speaks, with their arguments, from the published specification and its
 * usual extensions (confirms, nack, blocked).
 */
final class AmqpSpec {

    enum Type { BIT, OCTET, SHORT, LONG, LONGLONG, SHORTSTR, LONGSTR, TABLE }

    record Argument(String name, Type type) {
    }

    record Method(int classId, int methodId, String name, List<Argument> arguments) {
    }

    private static final Map<Integer, Method> BY_ID = new HashMap<>();
    private static final Map<String, Method> BY_NAME = new HashMap<>();

    static {
        method(10, 10, "connection.start",
                "major:octet minor:octet properties:table mechanisms:longstr locales:longstr");
        method(10, 11, "connection.start-ok", "properties:table mechanism:shortstr response:longstr locale:shortstr");
        method(10, 30, "connection.tune", "channels:short frame:long heartbeat:short");
        method(10, 31, "connection.tune-ok", "channels:short frame:long heartbeat:short");
        method(10, 40, "connection.open", "host:shortstr reserved1:shortstr reserved2:bit");
        method(10, 41, "connection.open-ok", "reserved:shortstr");
        method(10, 50, "connection.close", "code:short text:shortstr class:short method:short");
        method(10, 51, "connection.close-ok", "");
        method(10, 60, "connection.blocked", "reason:shortstr");
        method(10, 61, "connection.unblocked", "");
        method(20, 10, "channel.open", "reserved:shortstr");
        method(20, 11, "channel.open-ok", "reserved:longstr");
        method(20, 20, "channel.flow", "active:bit");
        method(20, 21, "channel.flow-ok", "active:bit");
        method(20, 40, "channel.close", "code:short text:shortstr class:short method:short");
        method(20, 41, "channel.close-ok", "");
        method(40, 10, "exchange.declare", "reserved:short exchange:shortstr type:shortstr passive:bit durable:bit"
                + " auto-delete:bit internal:bit no-wait:bit arguments:table");
        method(40, 11, "exchange.declare-ok", "");
        method(50, 10, "queue.declare", "reserved:short queue:shortstr passive:bit durable:bit exclusive:bit"
                + " auto-delete:bit no-wait:bit arguments:table");
        method(50, 11, "queue.declare-ok", "queue:shortstr messages:long consumers:long");
        method(50, 20, "queue.bind",
                "reserved:short queue:shortstr exchange:shortstr key:shortstr no-wait:bit arguments:table");
        method(50, 21, "queue.bind-ok", "");
        method(50, 40, "queue.delete", "reserved:short queue:shortstr if-unused:bit if-empty:bit no-wait:bit");
        method(50, 41, "queue.delete-ok", "messages:long");
        method(60, 10, "basic.qos", "size:long count:short global:bit");
        method(60, 11, "basic.qos-ok", "");
        method(60, 20, "basic.consume",
                "reserved:short queue:shortstr tag:shortstr no-local:bit no-ack:bit exclusive:bit"
                        + " no-wait:bit arguments:table");
        method(60, 21, "basic.consume-ok", "tag:shortstr");
        method(60, 30, "basic.cancel", "tag:shortstr no-wait:bit");
        method(60, 31, "basic.cancel-ok", "tag:shortstr");
        method(60, 40, "basic.publish", "reserved:short exchange:shortstr key:shortstr mandatory:bit immediate:bit");
        method(60, 50, "basic.return", "code:short text:shortstr exchange:shortstr key:shortstr");
        method(60, 60, "basic.deliver",
                "tag:shortstr delivery:longlong redelivered:bit exchange:shortstr key:shortstr");
        method(60, 80, "basic.ack", "delivery:longlong multiple:bit");
        method(60, 90, "basic.reject", "delivery:longlong requeue:bit");
        method(60, 120, "basic.nack", "delivery:longlong multiple:bit requeue:bit");
        method(85, 10, "confirm.select", "no-wait:bit");
        method(85, 11, "confirm.select-ok", "");
    }

    private AmqpSpec() {}

    private static void method(int classId, int methodId, String name, String arguments) {
        List<Argument> all = new ArrayList<>();
        for (String a : arguments.isEmpty() ? new String[0] : arguments.split(" ")) {
            String[] parts = a.split(":");
            all.add(new Argument(parts[0], Type.valueOf(parts[1].toUpperCase(Locale.ROOT))));
        }
        Method m = new Method(classId, methodId, name, List.copyOf(all));
        BY_ID.put(classId << 16 | methodId, m);
        BY_NAME.put(name, m);
    }

    /** Null where the stand-in does not speak it. */
    static Method of(int classId, int methodId) {
        return BY_ID.get(classId << 16 | methodId);
    }

    static Method of(String name) {
        return BY_NAME.get(name);
    }
}
