import java.io.PrintWriter;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/** Java's HttpClient as a caller: Client.java OUT SECONDS ROUTERS SEED. Writes what client.py writes. */
public class Client {
    private static final int CALLERS = 6;
    private static final Map<String, Integer> TIMEOUTS = Map.of("verdict", 6000, "note", 15000, "notice", 1000, "fetch", 1000);
    private static final List<String> KINDS = List.of("verdict", "note", "note", "notice", "fetch");
    private static final AtomicInteger count = new AtomicInteger();

    public static void main(String[] arguments) throws Exception {
        HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        long end = System.currentTimeMillis() + (long) (Double.parseDouble(arguments[1]) * 1000);
        String[] routers = arguments[2].split(",");
        try (PrintWriter out = new PrintWriter(arguments[0])) {
            Thread[] callers = new Thread[CALLERS];
            for (int number = 0; number < CALLERS; ++number) {
                Random random = new Random(Long.parseLong(arguments[3]) * CALLERS + number);
                callers[number] = new Thread(() -> runCaller(client, end, routers, random, out));
                callers[number].start();
            }
            for (Thread caller : callers) {
                caller.join();
            }
        }
    }

    private static void runCaller(HttpClient client, long end, String[] routers, Random random, PrintWriter out) {
        while (System.currentTimeMillis() < end) {
            String kind = KINDS.get(random.nextInt(KINDS.size()));
            String id = kind + "-java-" + count.incrementAndGet();
            String router = routers[random.nextInt(routers.length)];
            double begun = System.currentTimeMillis() / 1000.0;
            String result;
            try {
                result = String.valueOf(client.send(request(kind, id, router, random), HttpResponse.BodyHandlers.ofByteArray()).statusCode());
            } catch (Exception error) {
                result = "\"" + error.toString().replace("\"", "'") + "\"";
            }
            double ended = System.currentTimeMillis() / 1000.0;
            synchronized (out) {
                out.printf("{\"id\": \"%s\", \"router\": \"%s\", \"begun\": %.3f, \"ended\": %.3f, \"end\": %s}%n", id, router, begun, ended, result);
            }
            try {
                Thread.sleep(random.nextInt(100));
            } catch (InterruptedException error) {
                return;
            }
        }
    }

    private static HttpRequest request(String kind, String id, String router, Random random) {
        HttpRequest.Builder builder = HttpRequest.newBuilder(URI.create("http://" + router + "/" + kind + "/a")).timeout(Duration.ofMillis(TIMEOUTS.get(kind) + 500));
        builder.header("Host", "x.example").header("Verbenaladder-Attempt-Id", id).header("Verbenaladder-Deadline-Ms", String.valueOf(TIMEOUTS.get(kind))).header("Authorization", "Token secret");
        if (kind.equals("verdict") || kind.equals("note")) {
            builder.header("Verbenaladder-Model", "m").header("Verbenaladder-Token-Count", "900,20");
            builder.header("Verbenaladder-Prompt-Prefix", Integer.toHexString(1 + random.nextInt(19)) + ":800," + Integer.toHexString(1000 + random.nextInt(300)) + ":100");
        }
        if (!kind.equals("fetch")) {
            builder.POST(HttpRequest.BodyPublishers.ofByteArray(new byte[600 + random.nextInt(17000)]));
        }
        return builder.build();
    }
}
