import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages from a channel. */
final class Http {
    /** The start line and the header fields of a message; of a repeated field the first one counts. */
    static final class Head {
        final String startLine;
        final Map<String, String> fields = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);

        Head(String startLine) {
            this.startLine = startLine;
        }

        String field(String name) {
            return fields.get(name);
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String method() {
            return startLine.split(" ")[0];
        }

        String target() {
            return startLine.split(" ")[1];
        }
    }

    private Http() {}

    /** Reads a head, or returns null if the channel ends before its first byte. */
    static Head readHead(InputStream in) throws IOException {
        String first = readLine(in);
        if (first == null) return null;
        Head head = new Head(first);
        while (true) {
            String line = readLine(in);
            if (line == null) throw new EOFException("the channel ended within a head");
            if (line.isEmpty()) return head;
            int colon = line.indexOf(':');
            head.fields.putIfAbsent(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
    }

    /** Reads the body that follows the head of a request, or of a response with a length or chunks. */
    static byte[] readBody(Head head, InputStream in) throws IOException {
        if ("chunked".equalsIgnoreCase(head.field("Transfer-Encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                byte[] chunk = readChunk(in);
                if (chunk.length == 0) return body.toByteArray();
                body.write(chunk);
            }
        }
        String length = head.field("Content-Length");
        return length == null ? new byte[0] : readFully(in, Integer.parseInt(length));
    }

    /** Reads one chunk; the last one is empty. */
    static byte[] readChunk(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) throw new EOFException("the channel ended between chunks");
        byte[] chunk = readFully(in, Integer.parseInt(line.split(";")[0].trim(), 16));
        readLine(in);
        return chunk;
    }

    private static byte[] readFully(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) throw new EOFException("the channel ended within a body");
        return bytes;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int c = in.read();
            if (c < 0) {
                if (line.size() == 0) return null;
                throw new EOFException("the channel ended within a line");
            }
            if (c == '\n') break;
            line.write(c);
        }
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }

    static InputStream buffered(InputStream in) {
        return new BufferedInputStream(in, 16_384);
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
