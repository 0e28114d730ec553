#include "standins.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <optional>
#include <utility>

namespace review {
namespace {

namespace json = boost::json;

constexpr int64_t kIdleMs = 60'000;
constexpr int64_t kWatchPollMs = 2;
constexpr int kMisdirected = 421;

std::string QueryValue(const std::string& target, const std::string& name) {
  for (const char* lead : {"?", "&"}) {
    const size_t at = target.find(lead + name + "=");
    if (at == std::string::npos) continue;
    const size_t begin = at + name.size() + 2;
    return target.substr(begin, target.find('&', begin) - begin);
  }
  return "";
}

std::string JsonAnswer(int status, const json::object& body) {
  return EncodeResponse(status, {{"Content-Type", "application/json"}}, json::serialize(body));
}

int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

ObjectStore::ObjectStore(const std::string& ip) {
  server_ = std::make_unique<Server>(ip, [this](Connection& connection) { Serve(connection); });
}

void ObjectStore::Serve(Connection& connection) {
  while (true) {
    const Message request = ReadMessage(connection, kIdleMs);
    if (!request.complete) return;
    if (!connection.Send(Answer(request))) return;
  }
}

std::string ObjectStore::Answer(const Message& request) {
  const std::string target = request.target();
  const std::string path = target.substr(0, target.find('?'));
  const std::string prefix = "/objects/";
  if (!path.starts_with(prefix)) return JsonAnswer(404, {});
  const std::string rest = path.substr(prefix.size());
  const size_t slash = rest.find('/');
  const std::string kind = rest.substr(0, slash);
  const std::string name = slash == std::string::npos ? "" : rest.substr(slash + 1);
  const std::string since = QueryValue(target, "watch");
  if (request.method() == "GET" && !since.empty()) {
    return Watch(kind, std::atoll(since.c_str()),
                 std::atoll(QueryValue(target, "wait_ms").c_str()));
  }
  const std::lock_guard lock(mutex_);
  if (request.method() != "GET") return Write(request, kind, name);
  const auto& objects = objects_[kind];
  if (!name.empty()) {
    const auto found = objects.find(name);
    return found == objects.end() ? JsonAnswer(404, {}) : JsonAnswer(200, found->second);
  }
  json::array items;
  for (const auto& [key, object] : objects) items.push_back(object);
  return JsonAnswer(200,
                    {{"items", std::move(items)}, {"more", false}, {"current_rev", revision_}});
}

std::string ObjectStore::Watch(const std::string& kind, int64_t since, int64_t wait_ms) {
  const int64_t until = NowMs() + wait_ms;
  while (true) {
    {
      const std::lock_guard lock(mutex_);
      json::array events;
      for (const Change& change : changes_) {
        if (change.kind != kind || change.revision <= since) continue;
        events.push_back(json::object{{"object", change.object}, {"removed", change.removed}});
      }
      if (!events.empty() || NowMs() >= until) {
        return JsonAnswer(200, {{"events", std::move(events)}, {"current_rev", revision_}});
      }
    }
    SleepMs(kWatchPollMs);
  }
}

std::string ObjectStore::Write(const Message& request, const std::string& kind, std::string name) {
  boost::system::error_code failure;
  const json::value value = json::parse(request.body, failure);
  const json::object body = value.is_object() ? value.as_object() : json::object{};
  const json::value* meta = body.if_contains("meta");
  std::optional<int64_t> expected;
  if (meta != nullptr && meta->is_object()) {
    if (name.empty()) name = meta->as_object().at("name").as_string().c_str();
    const json::value* revision = meta->as_object().if_contains("rev");
    if (revision != nullptr) expected = revision->to_number<int64_t>();
  }
  auto& objects = objects_[kind];
  const auto found = objects.find(name);
  const bool exists = found != objects.end();
  const bool conflict =
      (request.method() == "POST" && exists) ||
      (expected &&
       (!exists || found->second.at("meta").at("rev").to_number<int64_t>() != *expected));
  if (conflict) return JsonAnswer(409, exists ? found->second : json::object{});
  const json::value* spec = body.if_contains("spec");
  Apply(kind, name, spec == nullptr ? json::value(nullptr) : *spec);
  return JsonAnswer(request.method() == "POST" ? 201 : 200, objects.at(name));
}

void ObjectStore::Apply(const std::string& kind, const std::string& name, json::value spec) {
  ++revision_;
  json::object object{{"meta",
                       {{"name", name},
                        {"rev", revision_},
                        {"created", revision_},
                        {"finalizers", json::array{}},
                        {"deleting", false}}},
                      {"spec", std::move(spec)},
                      {"status", nullptr}};
  objects_[kind][name] = object;
  changes_.push_back({revision_, kind, std::move(object), false});
}

void ObjectStore::Put(const std::string& kind, const std::string& name, json::value spec) {
  const std::lock_guard lock(mutex_);
  Apply(kind, name, std::move(spec));
}

void ObjectStore::Delete(const std::string& kind, const std::string& name) {
  const std::lock_guard lock(mutex_);
  const auto found = objects_[kind].find(name);
  if (found == objects_[kind].end()) return;
  ++revision_;
  changes_.push_back({revision_, kind, found->second, true});
  objects_[kind].erase(found);
}

void Arrivals::Add(Arrival arrival) {
  const std::lock_guard lock(mutex_);
  arrivals_.push_back(std::move(arrival));
}

std::vector<Arrival> Arrivals::All() {
  const std::lock_guard lock(mutex_);
  return arrivals_;
}

int64_t Arrivals::Runs(const std::string& request_id) {
  const std::lock_guard lock(mutex_);
  return std::count_if(arrivals_.begin(), arrivals_.end(), [&](const Arrival& arrival) {
    return arrival.run && arrival.request_id == request_id;
  });
}

Runner::Runner(RunnerOptions options, Arrivals& arrivals)
    : options_(std::move(options)), arrivals_(arrivals), born_ms_(UnixMs()) {
  server_ =
      std::make_unique<Server>(options_.ip, [this](Connection& connection) { Serve(connection); });
}

json::object Runner::Entry(const std::string& state) {
  return {{"service", options_.service},
          {"addr", address().Text()},
          {"zone", options_.zone},
          {"version", "v1"},
          {"slots", options_.slots},
          {"state", state},
          {"cold_left_ms", 0},
          {"seq", ++sequence_},
          {"born", born_ms_}};
}

void Runner::Serve(Connection& connection) {
  while (true) {
    const Message request = ReadMessage(connection, kIdleMs);
    if (!request.complete) return;
    const std::string id = Field(request.headers, "X-Fuchsiaweir-Request-Id");
    const Headers headers{{"X-Fuchsiaweir-Request-Id", id},
                          {"X-Fuchsiaweir-Server-Stamp", "stamp." + options_.id + "." + id}};
    const std::string expected = Field(request.headers, "X-Fuchsiaweir-Expect-Instance");
    const bool run = expected.empty() || expected == options_.id;
    arrivals_.Add({NowMs(), options_.id, id, request.target(),
                   Field(request.headers, "X-Fuchsiaweir-Tenant"), request.body, run});
    if (!run) {
      if (!connection.Send(EncodeResponse(kMisdirected, headers, ""))) return;
      continue;
    }
    SleepMs(options_.work_ms);
    if (options_.run) {
      if (!options_.run(connection, request, headers)) return;
    } else if (!connection.Send(EncodeResponse(200, headers, request.body))) {
      return;
    }
  }
}

}  // namespace review
