#include "list/listserver.h"

#include "common/jsonhttp.h"
#include "common/startserver.h"
#include "list/laggedlist.h"

#include <mutex>
#include <optional>

namespace almondridge::standins {
namespace {

Json toArray(const ListEntries &entries)
{
    Json array = Json::array();
    for (const auto &[id, entry] : entries) {
        array.push_back(entry);
    }
    return array;
}

} // namespace

struct ListServer::State
{
    void handle(net::ServerExchange &exchange);
    void show(net::ServerExchange &exchange);
    Result<void> control(net::ServerExchange &exchange);
    Result<void> change(const Json &body, TimePoint now);

    std::mutex lock_;
    LaggedList list_;
    std::optional<net::HttpServer> server_;
};

void ListServer::State::handle(net::ServerExchange &exchange)
{
    const std::string_view path = exchange.path();
    if (path == "/instances" && exchange.method() == "GET") {
        show(exchange);
    } else if (path == "/control") {
        answerOrRefuse(exchange, [&] { return control(exchange); });
    } else {
        respondError(exchange, 404, "not_found", "no such call");
    }
}

void ListServer::State::show(net::ServerExchange &exchange)
{
    std::unique_lock guard(lock_);
    const bool outage = list_.settings_.outage_;
    const ListEntries entries = list_.shown(BootClock::now());
    guard.unlock();
    if (outage) {
        respondError(exchange, 503, "outage", "the list is out", {{"Retry-After", "1"}});
        return;
    }
    respondJson(exchange, 200, {{"instances", toArray(entries)}});
}

Result<void> ListServer::State::control(net::ServerExchange &exchange)
{
    BOOST_LEAF_AUTO(body, readJson(exchange));
    std::unique_lock guard(lock_);
    BOOST_LEAF_CHECK(change(body, BootClock::now()));
    Json shown = showFields(ListFields, list_.settings_);
    shown["instances"] = toArray(list_.latest());
    guard.unlock();
    respondJson(exchange, 200, shown);
    return {};
}

Result<void> ListServer::State::change(const Json &body, TimePoint now)
{
    BOOST_LEAF_CHECK(readFields(body, ListFields, list_.settings_, {"instances", "set", "remove"}));
    if (body.contains("instances")) {
        BOOST_LEAF_CHECK(list_.replace(body["instances"], now));
    }
    if (body.contains("set") || body.contains("remove")) {
        BOOST_LEAF_CHECK(list_.update(body.value("set", Json::array()),
                                      body.value("remove", Json::array()), now));
    }
    return {};
}

ListServer::ListServer(std::unique_ptr<State> state) noexcept
    : state_(std::move(state))
{ }
ListServer::ListServer(ListServer &&) noexcept = default;
ListServer &ListServer::operator=(ListServer &&) noexcept = default;
ListServer::~ListServer() = default;

Result<ListServer> ListServer::start(const net::Address &listen, int workers)
{
    auto state = std::make_unique<State>();
    State *const self = state.get();
    BOOST_LEAF_AUTO(server, startServer(listen, workers, self, &State::handle));
    state->server_.emplace(std::move(server));
    return ListServer(std::move(state));
}

std::uint16_t ListServer::port() const noexcept
{
    return state_->server_->port();
}

} // namespace almondridge::standins
