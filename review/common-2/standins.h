#ifndef FUCHSIAWEIR_REVIEW_COMMON_2_STANDINS_H_
#define FUCHSIAWEIR_REVIEW_COMMON_2_STANDINS_H_

#include "net.h"

// Stand-ins for the platform's store and for model runners, as PROTOCOL describes them. They behave
// like sound servers. Each listens on a loopback address of its own.
namespace review {

/// The platform's metadata store: lists, watches and conditional writes.
class ObjectStore {
 public:
  ObjectStore() : server_(NextIp(), [this](Connection& connection) { Serve(connection); }) {}
  const Address& address() const { return server_.address(); }

  /// Writes as the operator or a runner. The write is acknowledged when it returns.
  void Put(const std::string& kind, const std::string& name, json::value spec) {
    const std::lock_guard<std::mutex> lock(mutex_);
    Apply(kind, name, std::move(spec));
  }
  void Delete(const std::string& kind, const std::string& name) {
    const std::lock_guard<std::mutex> lock(mutex_);
    Remove(kind, name);
  }

 private:
  struct Change {
    int64_t revision = 0;
    std::string kind;
    json::object object;
    bool removed = false;
  };

  void Apply(const std::string& kind, const std::string& name, json::value spec) {
    json::object& object = objects_[kind][name];
    if (object.contains("spec") && object.at("spec") == spec) return;
    ++revision_;
    const int64_t created =
        object.contains("meta") ? object.at("meta").at("created").as_int64() : revision_;
    object["meta"] = json::object{{"name", name},
                                  {"rev", revision_},
                                  {"created", created},
                                  {"finalizers", json::array{}},
                                  {"deleting", false}};
    object["spec"] = std::move(spec);
    if (!object.contains("status")) object["status"] = nullptr;
    changes_.push_back({revision_, kind, object, false});
    changed_.notify_all();
  }

  void Remove(const std::string& kind, const std::string& name) {
    const auto found = objects_[kind].find(name);
    if (found == objects_[kind].end()) return;
    changes_.push_back({++revision_, kind, found->second, true});
    objects_[kind].erase(found);
    changed_.notify_all();
  }

  void Serve(Connection& connection) {
    while (const std::optional<Message> request = connection.Read()) {
      if (!connection.Send(Handle(*request))) return;
    }
  }

  std::string Handle(const Message& request) {
    const std::string path = request.path();
    const std::string prefix = "/objects/";
    if (path.rfind(prefix, 0) != 0) return JsonAnswer(404, json::object{});
    std::string kind = path.substr(prefix.size());
    std::string name;
    if (const size_t slash = kind.find('/'); slash != std::string::npos) {
      name = kind.substr(slash + 1);
      kind.resize(slash);
    }
    std::unique_lock<std::mutex> lock(mutex_);
    if (request.method() == "GET" && name.empty()) {
      if (request.Query("watch").empty()) return List(kind, request.Query("after"));
      return Watch(lock, kind, std::atoll(request.Query("watch").c_str()),
                   std::atoll(request.Query("wait_ms").c_str()));
    }
    if (request.method() == "GET") {
      const auto found = objects_[kind].find(name);
      if (found == objects_[kind].end()) return JsonAnswer(404, json::object{});
      return JsonAnswer(200, found->second);
    }
    return Write(request, kind, name);
  }

  std::string List(const std::string& kind, const std::string& after) {
    json::array items;
    for (const auto& [name, object] : objects_[kind]) {
      if (name > after) items.push_back(object);
    }
    return JsonAnswer(200,
                      json::object{{"items", items}, {"more", false}, {"current_rev", revision_}});
  }

  std::string Watch(std::unique_lock<std::mutex>& lock, const std::string& kind, int64_t since,
                    int64_t wait_ms) {
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(wait_ms);
    json::array events;
    while (true) {
      for (const Change& change : changes_) {
        if (change.kind != kind || change.revision <= since) continue;
        events.push_back(json::object{{"object", change.object}, {"removed", change.removed}});
      }
      if (!events.empty() || changed_.wait_until(lock, until) == std::cv_status::timeout) break;
    }
    return JsonAnswer(200, json::object{{"events", events}, {"current_rev", revision_}});
  }

  std::string Write(const Message& request, const std::string& kind, std::string name) {
    boost::system::error_code failure;
    const json::value body = json::parse(request.body, failure);
    const json::object* fields = failure ? nullptr : body.if_object();
    const json::value* meta = fields == nullptr ? nullptr : fields->if_contains("meta");
    if (request.method() == "DELETE") {
      Remove(kind, name);
      return JsonAnswer(200, json::object{});
    }
    if (meta == nullptr || !meta->is_object()) return JsonAnswer(400, json::object{});
    const auto& objects = objects_[kind];
    if (request.method() == "POST") {
      name = std::string(meta->at("name").as_string());
      if (objects.count(name) > 0) return JsonAnswer(409, objects.at(name));
    } else {
      const auto found = objects.find(name);
      if (found == objects.end()) return JsonAnswer(404, json::object{});
      const json::value* revision = meta->as_object().if_contains("rev");
      if (revision != nullptr &&
          revision->to_number<int64_t>() != found->second.at("meta").at("rev").as_int64()) {
        return JsonAnswer(409, found->second);
      }
    }
    Apply(kind, name, fields->contains("spec") ? fields->at("spec") : json::value{});
    return JsonAnswer(200, objects_[kind].at(name));
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  int64_t revision_ = 1;
  std::map<std::string, std::map<std::string, json::object>> objects_;
  std::vector<Change> changes_;
  Server server_;
};

struct PromptPart {
  std::string id;
  int64_t tokens = 0;
};

inline std::vector<std::string> SplitList(const std::string& text) {
  std::vector<std::string> items;
  std::istringstream in(text);
  std::string item;
  while (std::getline(in, item, ',')) items.push_back(item);
  return items;
}

inline std::vector<PromptPart> ParseParts(const std::string& text) {
  std::vector<PromptPart> parts;
  for (const std::string& item : SplitList(text)) {
    const size_t colon = item.find(':');
    if (colon != std::string::npos) {
      parts.push_back({item.substr(0, colon), std::atoll(item.c_str() + colon + 1)});
    }
  }
  return parts;
}

/// A request that a runner ran.
struct Run {
  std::string runner;
  std::string request_id;
  std::string tenant;
  std::string salt;
  std::vector<PromptPart> parts;
  /// Tenant whose request made the cached KV that this one used, by part.
  std::map<std::string, std::string> cached_from;
};

/// A model runner that answers each POST with a stream of three events. It keeps the KV cache of
/// prompts by salt, as PROTOCOL says.
class Runner {
 public:
  Runner(ObjectStore& store, const std::string& id, const std::string& service,
         const std::string& zone, Record& record)
      : id_(id),
        record_(record),
        server_(NextIp(), [this](Connection& connection) { Serve(connection); }) {
    const json::object models{{"name", "model-1"}, {"version", 1}, {"adapters", json::array{}}};
    store.Put("servers", id,
              json::object{{"service", service},
                           {"addr", server_.address().text()},
                           {"zone", zone},
                           {"version", 1},
                           {"slots", 16},
                           {"state", "ready"},
                           {"cold_left_ms", 0},
                           {"seq", 1},
                           {"born", 1'700'000'000'000},
                           {"stage", "both"},
                           {"models", json::array{models}}});
  }
  const Address& address() const { return server_.address(); }
  std::vector<Run> runs() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return runs_;
  }

 private:
  void Serve(Connection& connection) {
    while (const std::optional<Message> request = connection.Read()) {
      if (!connection.Send(Handle(*request))) return;
    }
  }

  std::string Handle(const Message& request) {
    if (request.path() == "/report") {
      const json::object model{{"name", "model-1"}, {"version", 1}, {"adapters", json::array{}}};
      return JsonAnswer(200, json::object{{"stage", "both"},
                                          {"models", json::array{model}},
                                          {"busy", false},
                                          {"seq", 0},
                                          {"queued", 0},
                                          {"active", 0},
                                          {"kv_used", 0},
                                          {"kv_total", 1'000'000},
                                          {"handles", 0},
                                          {"runs", json::array{}},
                                          {"clock_ms", NowMs()},
                                          {"born", 1'700'000'000'000}});
    }
    if (request.path() == "/health") {
      return Answer(200, "", {{"X-Fuchsiaweir-Instance-Id", id_}});
    }
    if (request.path() == "/kv-events" || request.path() == "/order") {
      return JsonAnswer(400, json::object{});
    }
    const std::string request_id = request.Header("X-Fuchsiaweir-Request-Id");
    const std::string expected = request.Header("X-Fuchsiaweir-Expect-Instance");
    const std::string version = request.Header("X-Fuchsiaweir-Expect-Version");
    if ((!expected.empty() && expected != id_) || (!version.empty() && version != "1")) {
      return Answer(421, "",
                    {{"X-Fuchsiaweir-Request-Id", request_id}, {"X-Fuchsiaweir-Not-Run", "1"}});
    }
    RunRequest(request, request_id);
    std::string events;
    for (int i = 1; i <= 3; ++i) events += "id: " + std::to_string(i) + "\ndata: token\n\n";
    return Answer(200, events,
                  {{"Content-Type", "text/event-stream"},
                   {"X-Fuchsiaweir-Request-Id", request_id},
                   {"X-Fuchsiaweir-Server-Stamp", id_ + "." + request_id},
                   {"X-Fuchsiaweir-Weight-Versions", "1"}});
  }

  void RunRequest(const Message& request, const std::string& request_id) {
    Run run{id_,
            request_id,
            request.Header("X-Fuchsiaweir-Tenant"),
            request.Header("X-Fuchsiaweir-Cache-Salt"),
            ParseParts(request.Header("X-Fuchsiaweir-Prompt-Prefix")),
            {}};
    const std::lock_guard<std::mutex> lock(mutex_);
    auto& cache = cache_[run.salt];
    bool leading = true;
    for (const PromptPart& part : run.parts) {
      const auto found = cache.find(part.id);
      leading = leading && found != cache.end();
      if (leading) run.cached_from[part.id] = found->second;
      if (found == cache.end()) cache[part.id] = run.tenant;
    }
    std::string text =
        "runner " + id_ + " runs " + request_id + " of tenant " + run.tenant + ", salt " + run.salt;
    for (const auto& [part, tenant] : run.cached_from) {
      text += ", uses cached part " + part + " made by a request of " + tenant;
    }
    record_.Line(text);
    runs_.push_back(std::move(run));
  }

  std::string id_;
  Record& record_;
  std::mutex mutex_;
  std::map<std::string, std::map<std::string, std::string>> cache_;  ///< By salt and part.
  std::vector<Run> runs_;
  Server server_;
};

}  // namespace review

#endif  // FUCHSIAWEIR_REVIEW_COMMON_2_STANDINS_H_
