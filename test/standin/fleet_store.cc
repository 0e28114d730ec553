#include "fleet_store.h"

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "client_ports.h"
#include "net/awaitable.h"
#include "platform/names.h"
#include "standin_server.h"

namespace fuchsiaweir::standin {
namespace {

namespace json = boost::json;

constexpr Duration kWatchPollInterval = Millis(10);
constexpr Duration kSilentPollInterval = Millis(50);

struct Change {
  int64_t revision = 0;
  std::string kind;
  json::object object;
  bool removed = false;
};

json::object MakeObject(const std::string& name, int64_t revision, json::value spec) {
  return {{"meta", {{"name", name}, {"rev", revision}, {"finalizers", json::array{}}}},
          {"spec", std::move(spec)},
          {"status", nullptr}};
}

int64_t RevisionOf(const json::object& object) {
  return object.at("meta").at("rev").to_number<int64_t>();
}

class FleetStore {
 public:
  explicit FleetStore(boost::asio::io_context& io) : io_(io) {}

  Awaitable<void> Handle(HttpExchange& exchange) {
    const std::string path = exchange.target().path;
    if (path == "/fault") {
      SetFaults(json::parse(exchange.request().body).as_object());
      co_return co_await SendJson(exchange, 200, "{}");
    }
    if (path == "/stats") {
      std::string body = json::serialize(json::object{
          {"lists", lists_}, {"watches", watches_}, {"gone", gone_}, {"rejected", rejected_}});
      co_return co_await SendJson(exchange, 200, std::move(body));
    }
    clients_.OnRequest(exchange);
    while (IsSilent(exchange)) co_await SleepFor(kSilentPollInterval);
    const bool read = exchange.request().method == "GET";
    if (away_ && read) co_return co_await DropResponse(exchange);
    if (names_history_) exchange.AddHeader(platform::kStoreHistoryHeader, std::to_string(history_));
    if (down_ || IsAt(exchange, refused_port_)) co_return co_await SendJson(exchange, 503, "{}");
    const std::string rest = path.substr(std::string("/objects/").size());
    const size_t slash = rest.find('/');
    const std::string kind = rest.substr(0, slash);
    std::string name = slash == std::string::npos ? "" : rest.substr(slash + 1);
    const std::string suffix = "/status";
    const bool status = name.ends_with(suffix);
    if (status) name.resize(name.size() - suffix.size());
    const std::string& method = exchange.request().method;
    if (method == "GET" && name.empty()) {
      if (RejectsRead()) {
        std::string response_body = "{}";
        co_return co_await SendJson(exchange, 429, std::move(response_body));
      }
      ++(exchange.target().Query("watch").empty() ? lists_ : watches_);
    }
    if (method == "GET" && name.empty() && !exchange.target().Query("watch").empty()) {
      co_return co_await Watch(exchange, kind);
    }
    if (method == "GET") co_return co_await Read(exchange, kind, name);
    co_return co_await Write(exchange, kind, name, status);
  }

 private:
  /// Whether the call came to this port; 0: no port.
  static bool IsAt(HttpExchange& exchange, uint16_t port) {
    boost::system::error_code ignored;
    return port != 0 && exchange.transport().tcp().socket().local_endpoint(ignored).port() == port;
  }

  bool IsSilent(HttpExchange& exchange) const {
    return silent_ || IsAt(exchange, silent_port_) || clients_.IsSilent(exchange);
  }

  void SetFaults(const json::object& faults) {
    if (const json::value* down = faults.if_contains("down")) down_ = down->as_bool();
    if (const json::value* silent = faults.if_contains("silent")) silent_ = silent->as_bool();
    if (const json::value* port = faults.if_contains("silence_port")) {
      silent_port_ = port->to_number<uint16_t>();
    }
    if (const json::value* port = faults.if_contains("refuse_port")) {
      refused_port_ = port->to_number<uint16_t>();
    }
    if (faults.contains("silence_open_connections")) clients_.Silence();
    if (faults.contains("forget_history")) history_begin_ = revision_ + 1;
    if (const json::value* busy = faults.if_contains("busy")) busy_ = busy->as_bool();
    if (const json::value* rate = faults.if_contains("reads_per_s")) {
      reads_per_s_ = rate->to_number<int64_t>();
    }
    if (const json::value* gone = faults.if_contains("history_always_gone")) {
      history_always_gone_ = gone->as_bool();
    }
    if (const json::value* none = faults.if_contains("no_history")) {
      names_history_ = !none->as_bool();
    }
    if (faults.contains("save_copy")) copy_ = {objects_, revision_};
    if (const json::value* away_ms = faults.if_contains("restore_copy")) {
      Restore(Millis(away_ms->to_number<int64_t>()));
    }
    if (const json::value* skipped = faults.if_contains("skip_revisions")) {
      revision_ += skipped->to_number<int64_t>();
    }
  }

  void Restore(Duration away) {
    objects_ = copy_.objects;
    revision_ = copy_.revision;
    std::erase_if(changes_,
                  [this](const Change& change) { return change.revision > copy_.revision; });
    ++history_;
    away_ = true;
    Spawn(io_, "away", [this, away]() { return EndAway(away); });
  }

  Awaitable<void> EndAway(Duration away) {
    co_await SleepFor(away);
    away_ = false;
  }

  /// Whether a read exceeds the rate, or all are rejected.
  bool RejectsRead() {
    const TimePoint now = SteadyNow();
    if (now - second_begin_ >= Seconds(1)) {
      second_begin_ = now;
      reads_in_second_ = 0;
    }
    const bool rejects = busy_ || (reads_per_s_ > 0 && ++reads_in_second_ > reads_per_s_);
    if (rejects) ++rejected_;
    return rejects;
  }

  Awaitable<void> Watch(HttpExchange& exchange, std::string kind) {
    const int64_t from = exchange.target().QueryInteger("watch", 0);
    const Duration wait = Millis(exchange.target().QueryInteger("wait_ms", 0));
    json::array events;
    // A watch continues from the revision of the response, which must not be later than the changes
    // that were looked at.
    int64_t revision = revision_;
    const int64_t history = history_;
    for (Duration waited{0}; events.empty() && waited <= wait; waited += kWatchPollInterval) {
      if (history != history_) co_return co_await DropResponse(exchange);
      revision = revision_;
      if (from + 1 < history_begin_ || from > revision_ || history_always_gone_) {
        ++gone_;
        std::string response_body = "{}";
        co_return co_await SendJson(exchange, 410, std::move(response_body));
      }
      for (const Change& change : changes_) {
        if (change.kind != kind || change.revision <= from) continue;
        events.push_back(json::object{{"removed", change.removed}, {"object", change.object}});
      }
      if (events.empty()) co_await SleepFor(kWatchPollInterval);
      while (IsSilent(exchange)) co_await SleepFor(kSilentPollInterval);
    }
    std::string body =
        json::serialize(json::object{{"events", std::move(events)}, {"current_rev", revision}});
    co_await SendJson(exchange, 200, std::move(body));
  }

  Awaitable<void> Read(HttpExchange& exchange, std::string kind, std::string name) {
    const std::map<std::string, json::object>& objects = objects_[kind];
    std::string body;
    int status = 200;
    if (name.empty()) {
      json::array items;
      for (const auto& [key, object] : objects) items.push_back(object);
      body = json::serialize(
          json::object{{"items", std::move(items)}, {"more", false}, {"current_rev", revision_}});
    } else if (const auto found = objects.find(name); found != objects.end()) {
      body = json::serialize(found->second);
    } else {
      status = 404;
      body = "{}";
    }
    co_await SendJson(exchange, status, std::move(body));
  }

  Awaitable<void> Write(HttpExchange& exchange, std::string kind, std::string name, bool status) {
    std::map<std::string, json::object>& objects = objects_[kind];
    const std::string& method = exchange.request().method;
    json::object body;
    if (!exchange.request().body.empty()) body = json::parse(exchange.request().body).as_object();
    std::optional<int64_t> expected;
    if (const json::value* meta = body.if_contains("meta")) {
      if (name.empty()) name = std::string(meta->at("name").as_string());
      const json::value* revision = meta->as_object().if_contains("rev");
      if (revision != nullptr) expected = revision->to_number<int64_t>();
    }
    const auto found = objects.find(name);
    const bool exists = found != objects.end();
    if (status && !exists) {
      std::string missing = "{}";
      co_return co_await SendJson(exchange, 404, std::move(missing));
    }
    const bool conflict = (method == "POST" && exists) ||
                          (expected && (!exists || RevisionOf(found->second) != *expected));
    std::string response_body = "{}";
    if (conflict) {
      if (exists) response_body = json::serialize(found->second);
      co_return co_await SendJson(exchange, 409, std::move(response_body));
    }
    ++revision_;
    const bool removed = method == "DELETE";
    json::object object =
        removed && exists ? found->second : MakeObject(name, revision_, body["spec"]);
    if (status) {
      object["spec"] = found->second.at("spec");
      object["status"] = body["status"];
    }
    if (removed) {
      objects.erase(name);
    } else {
      objects[name] = object;
    }
    changes_.push_back({revision_, kind, object, removed});
    response_body = json::serialize(object);
    co_await SendJson(exchange, 200, std::move(response_body));
  }

  using Objects = std::map<std::string, std::map<std::string, json::object>>;
  struct Copy {
    Objects objects;
    int64_t revision = 1;
  };

  boost::asio::io_context& io_;
  Objects objects_;
  Copy copy_;
  std::vector<Change> changes_;
  int64_t revision_ = 1;
  int64_t history_begin_ = 0;  ///< Oldest revision whose change is available to watches.
  bool down_ = false;
  bool silent_ = false;
  uint16_t silent_port_ = 0;
  uint16_t refused_port_ = 0;
  int64_t history_ = 1;
  bool names_history_ = true;
  bool away_ = false;
  bool history_always_gone_ = false;
  bool busy_ = false;
  int64_t reads_per_s_ = 0;
  TimePoint second_begin_;
  int64_t reads_in_second_ = 0;
  int64_t lists_ = 0;
  int64_t watches_ = 0;
  int64_t gone_ = 0;
  int64_t rejected_ = 0;
  ClientPorts clients_;
};

}  // namespace

void RunFleetStore(int port, int second_port) {
  boost::asio::io_context io(1);
  FleetStore store(io);
  Serve(io, std::vector<int>{port, second_port},
        [&store](HttpExchange& exchange) { return store.Handle(exchange); });
}

}  // namespace fuchsiaweir::standin
