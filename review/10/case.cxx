// Servers fail a part of their requests while their liveness check is good: they run them and then
// answer 503. Such an answer doesn't say that the request has not run (it has no X-Not-Executed), so
// a client must not be told so.
#include "rig.hpp"

using namespace rig;

namespace {

constexpr int Servers = 7;
constexpr int Failing = 1;    // A share of 0.14.
constexpr int Clients = 6;
constexpr int TroubleMs = 6500;

std::atomic<std::int64_t> troubleUntil {0};
std::mutex seenMutex;
std::map<std::string, int> runs; // By X-Request-Id.

struct Desk
{
    std::string id;
    bool fails = false;
    std::atomic<int> requests {0};
    std::unique_ptr<Server> server;

    bool serve(int fd, const Message &request)
    {
        if (request.path() == "/healthz") {
            return sendAll(fd, answer(200, "", {{"X-Instance-Id", id}}));
        }
        const std::string request_id = request.header("X-Request-Id");
        if (request.header("X-Target-Instance") != id) {
            return sendAll(fd, answer(421, "", {{"X-Request-Id", request_id}, {"X-Instance-Id", id}}));
        }
        {
            const std::lock_guard<std::mutex> lock(seenMutex);
            ++runs[request_id];
        }
        sleepMs(30);
        const bool isFailed = fails && hasTrouble() && nowMs() < troubleUntil && ++requests % 5 < 2; // x = 0.4.
        record("server " + id + " has run " + request_id + (isFailed ? " and answers 503 without X-Not-Executed" : ""));
        return isFailed ? sendAll(fd, answer(503, "{\"error\":\"backend\"}", {{"X-Request-Id", request_id}}))
                        : sendAll(fd, answer(200, "done " + request_id, {{"X-Request-Id", request_id},
                                                                         {"X-Response-Signature", "3e1b.07.5a2.600.0.c9f2a4d1"}}));
    }
};

} // namespace

int main()
{
    Store store;
    static Desk desks[Servers];
    std::vector<std::unique_ptr<Entry>> entries;
    for (int index = 0; index < Servers; ++index) {
        Desk &desk = desks[index];
        desk.id = "i-desk" + std::to_string(index + 1);
        desk.fails = index < Failing;
        desk.server = std::make_unique<Server>([&desk](int fd, const Message &request) { return desk.serve(fd, request); });
        entries.push_back(std::make_unique<Entry>(store, desk.id, serverEntry("desk", desk.server->port(), "", 6)));
    }
    const Json manifest {{"version", 7},
                         {"routes", Json::array({{{"name", "r-confirm"}, {"host", "desk.example"}, {"path-prefix", "/confirm/"},
                                                  {"kind", "unsafe"}, {"timeout-ms", 1200}, {"target-latency-ms", 300},
                                                  {"priority", 2}, {"service", "desk"}, {"max-attempts", 1}}})},
                         {"services", Json::array({{{"name", "desk"}, {"health-path", "/healthz"}, {"max-conns", 110},
                                                    {"protocol", "h1"}, {"tls", false}}})},
                         {"limits", limits()}};
    store.put("keyed.op", "config", manifest.dump());
    Node node = makeNode("front-za-1", store.view().server->port(), folder(), true);
    node.start();
    awaitReady(node);

    troubleUntil = nowMs() + TroubleMs;
    std::atomic<int> good {0};
    std::mutex promisedMutex;
    std::vector<std::pair<std::string, int>> promised; // Requests that were answered with a promise.
    std::map<int, int> other;
    std::vector<std::thread> clients;
    for (int index = 0; index < Clients; ++index) {
        clients.emplace_back([&] {
            int channel = connectTo(node.port);
            auto reader = std::make_unique<Reader>(channel);
            while (nowMs() < troubleUntil) {
                const std::string id = newId();
                Message reply;
                const bool isAnswered =
                    sendAll(channel, "POST /confirm/one HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: " + id
                                         + "\r\nX-Deadline-Ms: 4000\r\nContent-Length: 4\r\n\r\nbook")
                    && reader->head(reply, 5000) && reader->body(reply, 5000);
                const int status = isAnswered ? reply.status() : 0;
                if (status == 200) {
                    ++good;
                } else {
                    record("client: " + id + " got " + std::to_string(status) + ", MAC <" + reply.header("X-Response-Signature") + ">");
                    const std::lock_guard<std::mutex> lock(promisedMutex);
                    ++other[status];
                    if (status == 503 || status == 429 || status == 408 || status == 421) {
                        promised.emplace_back(id, status);
                    }
                }
                if (!isAnswered) {
                    ::close(channel);
                    channel = connectTo(node.port);
                    reader = std::make_unique<Reader>(channel);
                }
                sleepMs(20);
            }
        });
    }
    for (std::thread &client : clients) {
        client.join();
    }
    sleepMs(300);
    int untrue = 0;
    for (const auto &[id, status] : promised) {
        if (runs.count(id) > 0) {
            ++untrue;
            record("the client of " + id + " was told " + std::to_string(status) + ", \"not run\", and a server had run it");
        }
    }
    record("answers: " + std::to_string(good) + " right, " + std::to_string(promised.size()) + " with 503, 429, 408 or 421, "
           + std::to_string(untrue) + " of these to requests that had run");
    if (good < 100) {
        finish(2, "too few requests were served");
    }
    finish(untrue > 0 ? 1 : 0, "REFUSED: " + std::to_string(untrue) + " requests were run and answered with a promise that they weren't");
}
