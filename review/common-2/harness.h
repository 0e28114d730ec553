#ifndef FUCHSIAWEIR_REVIEW_COMMON_2_HARNESS_H_
#define FUCHSIAWEIR_REVIEW_COMMON_2_HARNESS_H_

// Stand-ins for the platform's store, for model runners and stores of KV cache, and for clients, as
// PROTOCOL describes them. They behave like sound servers. Each listens on a loopback address of
// its own. The programs under test are started as DEPLOY says.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <boost/json.hpp>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

namespace json = boost::json;

constexpr int kExitHeld = 0;
constexpr int kExitBroken = 1;
constexpr int kExitNotRun = 2;

inline int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

inline void SleepMs(int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

inline bool Trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

/// Writes lines to record.txt and to standard output, with the time since the start.
class Record {
 public:
  explicit Record(const std::string& file) : out_(file), start_(NowMs()) {}
  void Line(const std::string& text) {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::ostringstream line;
    line << (NowMs() - start_) << " ms  " << text;
    out_ << line.str() << std::endl;
    std::cout << line.str() << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
  int64_t start_;
};

struct Address {
  std::string ip;
  int port = 0;
  std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in ToSockaddr(const Address& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<uint16_t>(address.port));
  inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
  return result;
}

/// Returns an address of the loopback network that this process has not given out before.
inline std::string NextIp() {
  static std::atomic<int> next{1};
  const int number = next++;
  return "127." + std::to_string(60 + getpid() % 100) + "." + std::to_string(getpid() / 100 % 250) +
         "." + std::to_string(number);
}

/// Returns a port that is free at the address.
inline int FreePort(const std::string& ip, int type = SOCK_STREAM) {
  const int fd = socket(AF_INET, type, 0);
  sockaddr_in address = ToSockaddr({ip, 0});
  bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  socklen_t size = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  close(fd);
  return ntohs(address.sin_port);
}

using Headers = std::vector<std::pair<std::string, std::string>>;

inline std::string Lower(std::string text) {
  for (char& c : text) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return text;
}

struct Message {
  std::string start;  ///< First line.
  Headers headers;
  std::string body;

  std::string Header(const std::string& name) const {
    for (const auto& [key, value] : headers) {
      if (Lower(key) == Lower(name)) return value;
    }
    return "";
  }
  std::string method() const { return start.substr(0, start.find(' ')); }
  std::string target() const {
    const size_t begin = start.find(' ') + 1;
    return start.substr(begin, start.find(' ', begin) - begin);
  }
  std::string path() const { return target().substr(0, target().find('?')); }
  std::string Query(const std::string& name) const {
    const std::string all = target();
    size_t at = all.find('?');
    while (at != std::string::npos) {
      const size_t end = all.find('&', at + 1);
      const std::string pair = all.substr(
          at + 1, end == std::string::npos ? std::string::npos : end - at - 1);
      if (pair.substr(0, pair.find('=')) == name && pair.find('=') != std::string::npos) {
        return pair.substr(pair.find('=') + 1);
      }
      at = end;
    }
    return "";
  }
  int status() const { return std::atoi(start.substr(start.find(' ') + 1).c_str()); }
};

class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {
    const int on = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  ~Connection() { close(fd_); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool Send(const std::string& bytes) {
    size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t count = send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) return false;
      sent += static_cast<size_t>(count);
    }
    return true;
  }

  /// Reads a message, with a body that has a length or comes in chunks. Nothing if the connection
  /// ends before the message is complete, or `until_ms` passes.
  std::optional<Message> Read(int64_t until_ms = INT64_MAX) {
    size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(until_ms)) return std::nullopt;
    }
    Message message;
    std::istringstream head(buffer_.substr(0, end));
    buffer_.erase(0, end + 4);
    std::string line;
    while (std::getline(head, line)) {
      if (!line.empty() && line.back() == '\r') line.pop_back();
      if (message.start.empty()) {
        message.start = line;
        continue;
      }
      const size_t colon = line.find(':');
      if (colon == std::string::npos) continue;
      const size_t value = line.find_first_not_of(' ', colon + 1);
      message.headers.emplace_back(line.substr(0, colon),
                                   value == std::string::npos ? "" : line.substr(value));
    }
    if (Lower(message.Header("Transfer-Encoding")) == "chunked") {
      return ReadChunks(std::move(message), until_ms);
    }
    const size_t length =
        static_cast<size_t>(std::atoll(message.Header("Content-Length").c_str()));
    while (buffer_.size() < length) {
      if (!Fill(until_ms)) return std::nullopt;
    }
    message.body = buffer_.substr(0, length);
    buffer_.erase(0, length);
    return message;
  }

 private:
  std::optional<Message> ReadChunks(Message message, int64_t until_ms) {
    while (true) {
      size_t line_end = 0;
      while ((line_end = buffer_.find("\r\n")) == std::string::npos) {
        if (!Fill(until_ms)) return std::nullopt;
      }
      const size_t size = std::strtoul(buffer_.c_str(), nullptr, 16);
      while (buffer_.size() < line_end + 2 + size + 2) {
        if (!Fill(until_ms)) return std::nullopt;
      }
      message.body += buffer_.substr(line_end + 2, size);
      buffer_.erase(0, line_end + 2 + size + 2);
      if (size == 0) return message;
    }
  }

  bool Fill(int64_t until_ms) {
    pollfd waiting{fd_, POLLIN, 0};
    while (true) {
      const int64_t left = until_ms == INT64_MAX ? 1000 : until_ms - NowMs();
      if (left <= 0) return false;
      const int ready = poll(&waiting, 1, static_cast<int>(std::min<int64_t>(left, 1000)));
      if (ready < 0) return false;
      if (ready > 0) break;
    }
    char bytes[16384];
    const ssize_t count = recv(fd_, bytes, sizeof(bytes), 0);
    if (count <= 0) return false;
    buffer_.append(bytes, static_cast<size_t>(count));
    return true;
  }

  int fd_;
  std::string buffer_;
};

/// Serves each connection in a thread of its own, until the process ends.
class Server {
 public:
  Server(const std::string& ip, std::function<void(Connection&)> serve)
      : address_{ip, FreePort(ip)}, serve_(std::move(serve)) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address = ToSockaddr(address_);
    if (bind(fd_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
        listen(fd_, 256) != 0) {
      std::cerr << "cannot listen on " << address_.text() << std::endl;
      std::_Exit(kExitNotRun);
    }
    std::thread([this]() {
      while (true) {
        const int client = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        if (client < 0) continue;
        std::thread([this, client]() {
          Connection connection(client);
          serve_(connection);
        }).detach();
      }
    }).detach();
  }
  const Address& address() const { return address_; }

 private:
  Address address_;
  std::function<void(Connection&)> serve_;
  int fd_ = -1;
};

inline std::string Answer(int status, const std::string& body, const Headers& headers = {}) {
  std::ostringstream out;
  out << "HTTP/1.1 " << status << " x\r\n";
  for (const auto& [name, value] : headers) out << name << ": " << value << "\r\n";
  out << "Content-Length: " << body.size() << "\r\n\r\n" << body;
  return out.str();
}

inline std::string JsonAnswer(int status, const json::value& body) {
  return Answer(status, json::serialize(body), {{"Content-Type", "application/json"}});
}

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
    const int64_t created = object.contains("meta") ? object.at("meta").at("created").as_int64()
                                                    : revision_;
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
    return JsonAnswer(200, json::object{{"items", items}, {"more", false},
                                        {"current_rev", revision_}});
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

/// A managed store of KV cache: holds the parts that runners save.
class CacheStore {
 public:
  CacheStore() : server_(NextIp(), [this](Connection& connection) { Serve(connection); }) {}
  const Address& address() const { return server_.address(); }
  void Save(const std::string& salt, const PromptPart& part, const std::string& model) {
    const std::lock_guard<std::mutex> lock(mutex_);
    events_.push_back(json::array{static_cast<int64_t>(events_.size()) + 1, "+", salt, part.id,
                                  part.tokens, model});
    changed_.notify_all();
  }

 private:
  void Serve(Connection& connection) {
    while (const std::optional<Message> request = connection.Read()) {
      std::unique_lock<std::mutex> lock(mutex_);
      json::object body{{"epoch", 7}};
      if (request->path() == "/kv-events") {
        const auto since = static_cast<size_t>(std::atoll(request->Query("since").c_str()));
        const int64_t wait_ms = std::atoll(request->Header("Wait-Ms").c_str());
        changed_.wait_for(lock, std::chrono::milliseconds(wait_ms),
                          [&]() { return events_.size() > since; });
        json::array events;
        for (size_t i = since; i < events_.size(); ++i) events.push_back(events_[i]);
        body["events"] = events;
        body["lost"] = false;
      } else if (request->path() == "/kv-list") {
        json::array held;
        for (const json::value& event : events_) {
          held.push_back(json::array{event.at(2), event.at(3), event.at(4), event.at(5)});
        }
        body["held"] = held;
      } else if (request->path() == "/kv-free") {
        lock.unlock();
        if (!connection.Send(JsonAnswer(200, json::object{}))) return;
        continue;
      }
      body["next"] = static_cast<int64_t>(events_.size());
      lock.unlock();
      if (!connection.Send(JsonAnswer(200, body))) return;
    }
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<json::value> events_;
  Server server_;
};

/// A request that a runner ran.
struct Run {
  std::string runner;
  std::string request_id;
  std::string tenant;
  std::string salt;
  std::string save;              ///< Value of X-Fuchsiaweir-Kv-Save.
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
      : id_(id), record_(record),
        server_(NextIp(), [this](Connection& connection) { Serve(connection); }) {
    const json::object models{{"name", "model-1"}, {"version", 1}, {"adapters", json::array{}}};
    store.Put("servers", id,
              json::object{{"service", service}, {"addr", server_.address().text()},
                           {"zone", zone}, {"version", 1}, {"slots", 16}, {"state", "ready"},
                           {"cold_left_ms", 0}, {"seq", 1}, {"born", 1'700'000'000'000},
                           {"stage", "both"}, {"models", json::array{models}}});
  }
  const Address& address() const { return server_.address(); }
  std::vector<Run> runs() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return runs_;
  }
  /// Called with the name of a store and what is sent there.
  std::function<void(const std::string& store, const std::string& salt, const PromptPart& part)>
      on_save;

 private:
  void Serve(Connection& connection) {
    while (const std::optional<Message> request = connection.Read()) {
      if (!connection.Send(Handle(*request))) return;
    }
  }

  std::string Handle(const Message& request) {
    if (request.path() == "/report") {
      const json::object model{{"name", "model-1"}, {"version", 1}, {"adapters", json::array{}}};
      return JsonAnswer(200, json::object{{"stage", "both"}, {"models", json::array{model}},
                                          {"busy", false}, {"seq", 0}, {"queued", 0},
                                          {"active", 0}, {"kv_used", 0}, {"kv_total", 1'000'000},
                                          {"handles", 0}, {"runs", json::array{}},
                                          {"clock_ms", NowMs()}, {"born", 1'700'000'000'000}});
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
      return Answer(421, "", {{"X-Fuchsiaweir-Request-Id", request_id},
                              {"X-Fuchsiaweir-Not-Run", "1"}});
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
    Run run{id_, request_id, request.Header("X-Fuchsiaweir-Tenant"),
            request.Header("X-Fuchsiaweir-Cache-Salt"), request.Header("X-Fuchsiaweir-Kv-Save"),
            ParseParts(request.Header("X-Fuchsiaweir-Prompt-Prefix")), {}};
    const std::vector<std::string> saves = SplitList(run.save);
    const std::lock_guard<std::mutex> lock(mutex_);
    auto& cache = cache_[run.salt];
    bool leading = true;
    for (size_t i = 0; i < run.parts.size(); ++i) {
      const PromptPart& part = run.parts[i];
      const auto found = cache.find(part.id);
      leading = leading && found != cache.end();
      if (leading) run.cached_from[part.id] = found->second;
      if (found == cache.end()) cache[part.id] = run.tenant;
      if (i < saves.size() && saves[i] != "-" && on_save) on_save(saves[i], run.salt, part);
    }
    std::string text = "runner " + id_ + " runs " + request_id + " of tenant " + run.tenant +
                       ", salt " + run.salt;
    for (const auto& [part, tenant] : run.cached_from) {
      text += ", uses cached part " + part + " made by a request of " + tenant;
    }
    if (!run.save.empty()) text += ", told to save to " + run.save;
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

/// Gateways and sidecars as processes.
class Deployment {
 public:
  /// `zones` holds the region of each zone.
  Deployment(Address store, std::map<std::string, std::string> zones)
      : store_(std::move(store)), zones_(std::move(zones)) {
    char directory[] = "/tmp/review-2-XXXXXX";
    directory_ = mkdtemp(directory);
  }
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  /// Ends all processes, then this one: the threads of the stand-ins would outlive their objects.
  [[noreturn]] void End(int exit_code) {
    for (auto& [name, process] : processes_) {
      kill(process.pid, SIGKILL);
      waitpid(process.pid, nullptr, 0);
      unlink((directory_ + "/" + name + ".ini").c_str());
      unlink((directory_ + "/" + name + ".log").c_str());
    }
    rmdir(directory_.c_str());
    std::_Exit(exit_code);
  }

  /// Memory of the machines of processes that are started from now on.
  int memory_mb = 182;

  /// Starts a gateway. Returns the address for callers.
  Address StartGateway(const std::string& name, const std::string& zone) {
    const std::string ip = NextIp();
    Process process{"gateway", 0, {ip, FreePort(ip)}, {ip, FreePort(ip)}};
    Start(name, zone, ip, process,
          "callers = " + process.callers.text() + "\nreadiness = " + process.ready.text() + "\n");
    return process.callers;
  }
  void StartSidecar(const std::string& name, const std::string& zone, const Address& runner) {
    Process process{"sidecar", 0, {}, {}};
    Start(name, zone, NextIp(), process, "runner = " + runner.text() + "\n");
  }
  void Signal(const std::string& name, int signal) { kill(processes_.at(name).pid, signal); }
  /// Waits for the end of the process and starts it again.
  void Restart(const std::string& name) {
    waitpid(processes_.at(name).pid, nullptr, 0);
    Spawn(name);
  }
  /// Resident memory of the process in bytes, as the kernel reports it; 0 once it has ended.
  int64_t MemoryBytes(const std::string& name) const {
    std::ifstream status("/proc/" + std::to_string(processes_.at(name).pid) + "/status");
    std::string line;
    while (std::getline(status, line)) {
      if (line.rfind("VmRSS:", 0) == 0) return std::atoll(line.c_str() + 6) * 1024;
    }
    return 0;
  }
  /// Waits until the platform would give the gateway new channels.
  bool WaitReady(const std::string& name, int64_t timeout_ms = 20'000) {
    const int64_t until = NowMs() + timeout_ms;
    while (NowMs() < until) {
      if (Get(processes_.at(name).ready, "/ready") == 200) return true;
      SleepMs(100);
    }
    return false;
  }

 private:
  struct Process {
    std::string role;
    pid_t pid = 0;
    Address callers;
    Address ready;
  };

  static int Get(const Address& address, const std::string& path) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    Connection connection(fd);
    sockaddr_in to = ToSockaddr(address);
    if (connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof(to)) != 0) return 0;
    if (!connection.Send("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n")) return 0;
    const std::optional<Message> answer = connection.Read(NowMs() + 1000);
    return answer ? answer->status() : 0;
  }

  void Start(const std::string& name, const std::string& zone, const std::string& ip,
             Process process, const std::string& process_lines) {
    std::ofstream file(directory_ + "/" + name + ".ini");
    file << "[process]\nname = " << name << "\naddress = " << ip << "\ndata_centre = " << zone
         << "\n" << process_lines << "peer_port = " << PeerPort()
         << "\nmax_descriptors = 2870\nmemory_mb = " << memory_mb << "\n\n[platform]\nstore = " << store_.text()
         << "\n\n[bounds]\n"
         << (process.role == "gateway"
                 ? "key_revocation_ms = 5000\nshutdown_s = 8\nretry_ratio = 0.2\nretry_slack = 116\n"
                 : "shutdown_s = 8\n")
         << "weights_ms = 12000\n\n[regions]\n";
    for (const auto& [each, region] : zones_) file << each << " = " << region << "\n";
    file.close();
    processes_[name] = process;
    Spawn(name);
  }

  /// Ports are the same on all machines.
  int PeerPort() {
    if (peer_port_ == 0) peer_port_ = FreePort(NextIp());
    return peer_port_;
  }

  void Spawn(const std::string& name) {
    Process& process = processes_.at(name);
    const std::string settings = "--settings=" + directory_ + "/" + name + ".ini";
    const std::string log = directory_ + "/" + name + ".log";
    const pid_t pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);  // Ends with the driver, however that ends.
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      execl("target/fuchsiaweir", "target/fuchsiaweir", process.role.c_str(), settings.c_str(),
            nullptr);
      std::_Exit(127);
    }
    process.pid = pid;
  }

  Address store_;
  std::map<std::string, std::string> zones_;
  std::string directory_;
  int peer_port_ = 0;
  std::map<std::string, Process> processes_;
};

/// A request of a client, on a new channel. `headers` come after the usual ones.
inline std::optional<Message> Request(const Address& gateway, const std::string& path,
                                      const std::string& id, const std::string& key,
                                      const std::string& prefix, const Headers& headers = {},
                                      const std::string& body = "body") {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  Connection connection(fd);
  sockaddr_in to = ToSockaddr(gateway);
  if (connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof(to)) != 0) return std::nullopt;
  int64_t tokens = 0;
  for (const PromptPart& part : ParseParts(prefix)) tokens += part.tokens;
  std::ostringstream out;
  out << "POST " << path << " HTTP/1.1\r\nHost: calls.example\r\nX-Fuchsiaweir-Request-Id: " << id
      << "\r\nX-Fuchsiaweir-Deadline-Ms: 5000\r\nX-Fuchsiaweir-Model: model-1\r\n"
      << "X-Fuchsiaweir-Token-Count: " << tokens << ",20\r\nX-Fuchsiaweir-Prompt-Prefix: "
      << prefix << "\r\n";
  if (!key.empty()) out << "Api-Key: " << key << "\r\n";
  for (const auto& [name, value] : headers) out << name << ": " << value << "\r\n";
  out << "Content-Length: " << body.size() << "\r\n\r\n" << body;
  if (!connection.Send(out.str())) return std::nullopt;
  return connection.Read(NowMs() + 6000);
}

inline json::object StreamRoute(const std::string& prefix, const std::string& service) {
  return json::object{{"name", "r" + service}, {"host", "calls.example"}, {"path_prefix", prefix},
                      {"kind", "stream"}, {"timeout_ms", 5000}, {"slo_ms", 800}, {"priority", 1},
                      {"service", service}, {"attempts", 2}, {"anonymous", false},
                      {"sticky", true}, {"can_resume", true}, {"gap_slo_ms", 400}};
}

inline json::object EngineService(const std::string& name) {
  const json::object model{{"name", "model-1"}};
  return json::object{{"name", name}, {"health_path", "/health"}, {"max_conns", 200},
                      {"protocol", "h1"}, {"tls", false}, {"cold_s", 0.0}, {"cold_per_s", 0.0},
                      {"engine", json::object{{"slots", 16}, {"kv_capacity", 1'000'000},
                                              {"kv_bytes", 35136}, {"link_mbps", 550000.0},
                                              {"managed", true}, {"max_inflight", 12},
                                              {"models", json::array{model}}}}};
}

inline json::object StoreService(const std::string& name, const Address& address,
                                 const std::string& zone) {
  return json::object{{"name", name}, {"kv_store", address.text()}, {"zone", zone},
                      {"kv_capacity", 2'000'000}, {"link_mbps", 300000.0}, {"max_inflight", 12},
                      {"managed", true}, {"first_ms", 1.0}};
}

inline json::object DesiredState(int64_t version, json::array routes, json::array services,
                                 json::array tenants) {
  return json::object{{"version", version}, {"routes", std::move(routes)},
                      {"services", std::move(services)},
                      {"limits", json::object{{"header_bytes", 16384}, {"body_bytes", 4194304},
                                              {"header_timeout_ms", 3000},
                                              {"idle_timeout_ms", 15000}}},
                      {"tenants", std::move(tenants)}};
}

inline json::object Tenant(const std::string& name, const std::string& key) {
  return json::object{{"name", name}, {"api_keys", json::array{key}}};
}

}  // namespace review

#endif  // FUCHSIAWEIR_REVIEW_COMMON_2_HARNESS_H_
