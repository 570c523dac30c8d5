import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON as maps, lists, strings, numbers, booleans and null. */
final class Json {

    private final String text;

    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        Json json = new Json(text);
        Object value = json.value();
        json.blanks();
        if (json.at != text.length()) {
            throw new IllegalArgumentException("text after the document at " + json.at);
        }
        return value;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return text.isBlank() ? new LinkedHashMap<>() : (Map<String, Object>) parse(text);
    }

    static Map<String, Object> map(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            map.put((String) pairs[i], pairs[i + 1]);
        }
        return map;
    }

    static long number(Map<String, Object> map, String key, long otherwise) {
        return map.get(key) instanceof Number number ? number.longValue() : otherwise;
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> map) {
            String separator = "{";
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                out.append(separator);
                write(entry.getKey(), out);
                out.append(':');
                write(entry.getValue(), out);
                separator = ",";
            }
            out.append(map.isEmpty() ? "{}" : "}");
        } else if (value instanceof List<?> list) {
            String separator = "[";
            for (Object item : list) {
                out.append(separator);
                write(item, out);
                separator = ",";
            }
            out.append(list.isEmpty() ? "[]" : "]");
        } else if (value instanceof String string) {
            out.append('"');
            for (char c : string.toCharArray()) {
                if (c == '"' || c == '\\') {
                    out.append('\\').append(c);
                } else if (c < ' ') {
                    out.append(String.format("\\u%04x", (int) c));
                } else {
                    out.append(c);
                }
            }
            out.append('"');
        } else {
            out.append(value);
        }
    }

    private void blanks() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
            at++;
        }
    }

    private boolean take(char c) {
        blanks();
        if (at < text.length() && text.charAt(at) == c) {
            at++;
            return true;
        }
        return false;
    }

    private void require(char c) {
        if (!take(c)) {
            throw new IllegalArgumentException("expected " + c + " at " + at);
        }
    }

    private Object value() {
        blanks();
        if (at >= text.length()) {
            throw new IllegalArgumentException("the document ends early");
        }
        char c = text.charAt(at);
        if (c == '{') {
            return members();
        } else if (c == '[') {
            return items();
        } else if (c == '"') {
            return string();
        }
        int start = at;
        while (at < text.length() && "+-.0123456789abcdefghijklmnopqrstuvwxyzE".indexOf(text.charAt(at)) >= 0) {
            at++;
        }
        String word = text.substring(start, at);
        switch (word) {
            case "true":
                return true;
            case "false":
                return false;
            case "null":
                return null;
            default:
                return word.matches("-?\\d+") ? (Object) Long.parseLong(word) : (Object) Double.parseDouble(word);
        }
    }

    private Map<String, Object> members() {
        Map<String, Object> map = new LinkedHashMap<>();
        require('{');
        if (take('}')) {
            return map;
        }
        do {
            blanks();
            String key = string();
            require(':');
            map.put(key, value());
        } while (take(','));
        require('}');
        return map;
    }

    private List<Object> items() {
        List<Object> list = new ArrayList<>();
        require('[');
        if (take(']')) {
            return list;
        }
        do {
            list.add(value());
        } while (take(','));
        require(']');
        return list;
    }

    private String string() {
        StringBuilder out = new StringBuilder();
        require('"');
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c != '\\') {
                out.append(c);
                continue;
            }
            char escaped = text.charAt(at++);
            if (escaped == 'u') {
                out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                at += 4;
            } else {
                int index = "nrtbf".indexOf(escaped);
                out.append(index < 0 ? escaped : "\n\r\t\b\f".charAt(index));
            }
        }
        at++;
        return out.toString();
    }
}
