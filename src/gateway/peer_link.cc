#include "gateway/peer_link.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <stdexcept>
#include <utility>

#include "net/listen_retry.h"
#include "net/log.h"
#include "platform/field_access.h"

namespace fuchsiaweir {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

/// Messages fit into one Ethernet frame, since a datagram is lost if any of its fragments is.
constexpr size_t kMaxDatagramBytes = 1'400;
constexpr int64_t kMaxAgeMs = 365LL * 86'400'000;
/// Far beyond the time that an engine takes for one event.
constexpr int64_t kMaxPaceUs = 60'000'000;

json::object Encode(const HelloMessage& message) {
  json::object object{{"type", "hello"}, {"name", message.name}, {"revision", message.revision}};
  if (message.confirmed_age) object["confirmed_age_ms"] = ToMillis(*message.confirmed_age);
  json::array weights;
  for (const HelloMessage::Weights& item : message.weights) {
    weights.push_back(json::array{item.model, item.version, ToMillis(item.age)});
  }
  object["weights"] = std::move(weights);
  json::array changes;
  for (const HelloMessage::Change& item : message.changes) {
    changes.push_back(json::array{item.kind, item.position.revision, item.position.history});
  }
  object["changes"] = std::move(changes);
  return object;
}

json::object Encode(const LoadMessage& message) {
  json::object object{{"type", "load"}, {"runner", ToString(message.runner)}};
  if (!message.report) return object;
  const EngineReport& report = *message.report;
  object["report"] = json::object{{"running", report.running},
                                  {"waiting", report.waiting},
                                  {"memory_used", report.memory_used},
                                  {"memory_total", report.memory_total},
                                  {"phase", static_cast<int64_t>(report.phase)},
                                  {"started_ms", report.started_ms},
                                  {"runner_time_ms", report.runner_time_ms},
                                  {"model", report.model},
                                  {"weights_version", report.weights_version}};
  // Sent only while they are true, which is seldom.
  if (report.ready_to_load) object["report"].as_object()["ready"] = true;
  if (report.has_long_runs) object["report"].as_object()["long_runs"] = true;
  if (report.pace > Duration{0}) {
    object["report"].as_object()["pace_us"] = static_cast<int64_t>(report.pace.count());
  }
  if (report.reading > 0) object["report"].as_object()["reading"] = report.reading;
  return object;
}

json::array EncodeList(const std::vector<std::string>& items) {
  return json::array(items.begin(), items.end());
}

/// Throws std::invalid_argument for anything but an integer that JSON represents exactly.
int64_t DecodeInteger(const json::value& value) {
  const std::optional<int64_t> number = platform::ToInteger(value, platform::kExactIntegers);
  if (!number) throw std::invalid_argument("not an integer in range");
  return *number;
}

/// Decodes an age or a time in milliseconds. Times before now and long ones are bounded, since sums
/// of durations must not overflow.
Duration DecodeAge(const json::value& value) {
  return Millis(std::clamp<int64_t>(DecodeInteger(value), 0, kMaxAgeMs));
}

std::vector<std::string> DecodeList(const json::value& value) {
  std::vector<std::string> items;
  for (const json::value& item : value.as_array()) items.emplace_back(item.as_string());
  return items;
}

json::object Encode(const CrashMessage& message) {
  return {{"type", "crashed"},
          {"service", message.service},
          {"runner", message.runner},
          {"traits", EncodeList(message.traits)},
          {"sent_age_ms", ToMillis(message.sent_age)},
          {"lost_age_ms", ToMillis(message.lost_age)}};
}

json::object Encode(const ClearMessage& message) {
  return {{"type", "cleared"},
          {"traits", EncodeList(message.traits)},
          {"age_ms", ToMillis(message.age)}};
}

json::object Encode(const TrialMessage& message) {
  return {{"type", "trial"}, {"traits", EncodeList(message.traits)}};
}

json::object Encode(const LimitMessage& message) {
  json::object object{{"type", "limit"}, {"runner", message.runner}};
  if (message.per_second) object["per_second"] = *message.per_second;
  return object;
}

json::object Encode(const StreamsMessage& message) {
  json::array keys;
  for (const uint64_t key : message.keys) {
    keys.emplace_back(absl::StrCat(absl::Hex(key, absl::kZeroPad16)));
  }
  return {{"type", "streams"},
          {"version", message.version},
          {"keys", std::move(keys)},
          {"lifetime_ms", ToMillis(message.lifetime)}};
}

json::object Encode(const RolloutEvidenceMessage& message) { return EncodeMessage(message); }

json::object Encode(const RolloutStepMessage& message) { return EncodeMessage(message); }

EngineReport DecodeReport(const json::object& object) {
  EngineReport report;
  report.running = DecodeInteger(object.at("running"));
  report.waiting = DecodeInteger(object.at("waiting"));
  report.memory_used = DecodeInteger(object.at("memory_used"));
  report.memory_total = DecodeInteger(object.at("memory_total"));
  const int64_t phase = DecodeInteger(object.at("phase"));
  report.phase = static_cast<WeightLoadPhase>(std::clamp<int64_t>(phase, 0, 2));
  // Processes of an earlier version do not send these fields.
  const json::value* ready = object.if_contains("ready");
  report.ready_to_load = ready != nullptr && ready->as_bool();
  const json::value* long_runs = object.if_contains("long_runs");
  report.has_long_runs = long_runs != nullptr && long_runs->as_bool();
  report.started_ms = DecodeInteger(object.at("started_ms"));
  report.runner_time_ms = DecodeInteger(object.at("runner_time_ms"));
  report.model = std::string(object.at("model").as_string());
  report.weights_version = DecodeInteger(object.at("weights_version"));
  // Processes of an earlier version do not send these fields; zeros are left out.
  if (const json::value* pace = object.if_contains("pace_us")) {
    report.pace = Micros(std::clamp<int64_t>(DecodeInteger(*pace), 0, kMaxPaceUs));
  }
  if (const json::value* reading = object.if_contains("reading")) {
    report.reading =
        std::clamp(DecodeInteger(*reading), platform::kCounts.min, platform::kCounts.max);
  }
  return report;
}

PeerMessage Decode(const json::object& object) {
  const std::string type(object.at("type").as_string());
  if (type == "hello") {
    HelloMessage message;
    message.name = std::string(object.at("name").as_string());
    message.revision = DecodeInteger(object.at("revision"));
    if (const json::value* age = object.if_contains("confirmed_age_ms")) {
      message.confirmed_age = DecodeAge(*age);
    }
    for (const json::value& item : object.at("weights").as_array()) {
      const json::array& row = item.as_array();
      message.weights.push_back(
          {std::string(row.at(0).as_string()), DecodeInteger(row.at(1)), DecodeAge(row.at(2))});
    }
    // Processes of an earlier version do not send this field.
    if (const json::value* changes = object.if_contains("changes")) {
      for (const json::value& item : changes->as_array()) {
        const json::array& row = item.as_array();
        // Processes of an earlier version do not send the history.
        const int64_t history = row.size() > 2 ? DecodeInteger(row.at(2)) : 0;
        message.changes.push_back(
            {std::string(row.at(0).as_string()), {history, DecodeInteger(row.at(1))}});
      }
    }
    return message;
  }
  if (type == "load") {
    LoadMessage message;
    message.runner = ParseEndpoint(std::string(object.at("runner").as_string()));
    if (const json::value* report = object.if_contains("report")) {
      message.report = DecodeReport(report->as_object());
    }
    return message;
  }
  if (type == "cleared") {
    ClearMessage message{DecodeList(object.at("traits")), Duration{0}};
    // Processes of an earlier version do not send this field.
    if (const json::value* age = object.if_contains("age_ms")) {
      message.age = DecodeAge(*age);
    }
    return message;
  }
  if (type == "trial") return TrialMessage{DecodeList(object.at("traits"))};
  if (type == "limit") {
    LimitMessage message;
    message.runner = std::string(object.at("runner").as_string());
    if (const json::value* per_second = object.if_contains("per_second")) {
      message.per_second = per_second->to_number<double>();
    }
    return message;
  }
  if (type == "streams") {
    StreamsMessage message;
    message.version = std::string(object.at("version").as_string());
    message.lifetime = DecodeAge(object.at("lifetime_ms"));
    for (const std::string& text : DecodeList(object.at("keys"))) {
      uint64_t key = 0;
      if (!absl::SimpleHexAtoi(text, &key)) throw std::invalid_argument("not a key of a stream");
      message.keys.push_back(key);
    }
    return message;
  }
  if (type == "rollout_evidence") return DecodeRolloutEvidence(object);
  if (type == "rollout_step") return DecodeRolloutStep(object);
  if (type != "crashed") throw std::invalid_argument("unknown type of peer message");
  CrashMessage message;
  message.service = std::string(object.at("service").as_string());
  message.runner = std::string(object.at("runner").as_string());
  message.traits = DecodeList(object.at("traits"));
  message.sent_age = DecodeAge(object.at("sent_age_ms"));
  message.lost_age = DecodeAge(object.at("lost_age_ms"));
  return message;
}

}  // namespace

std::string EncodePeerMessage(const PeerMessage& message) {
  return std::visit([](const auto& body) { return json::serialize(Encode(body)); }, message);
}

std::optional<PeerMessage> DecodePeerMessage(std::string_view datagram) {
  boost::system::error_code failure;
  const json::value value =
      json::parse(json::string_view(datagram.data(), datagram.size()), failure);
  if (failure || !value.is_object()) return std::nullopt;
  try {
    return Decode(value.as_object());
  } catch (const std::exception&) {
    return std::nullopt;  // A field is missing or has another type; the caller logs it.
  }
}

PeerLink::PeerLink(asio::io_context& io, const Endpoint& local)
    : io_(io), local_(local), socket_(io) {}

void PeerLink::Send(const Endpoint& to, const PeerMessage& message) {
  if (!socket_.is_open()) return;
  boost::system::error_code failure;
  const asio::ip::address address = asio::ip::make_address(to.address, failure);
  if (failure) return LogDebug("peer_address_malformed", {{"address", to.address}});
  socket_.non_blocking(true, failure);
  socket_.send_to(asio::buffer(EncodePeerMessage(message)),
                  asio::ip::udp::endpoint(address, to.port), 0, failure);
  if (failure) LogDebug("datagram_not_sent", {{"to", ToString(to)}, {"reason", failure.message()}});
}

void PeerLink::Start() {
  const auto open = [this]() {
    const asio::ip::address address = asio::ip::make_address(local_.address);
    // An open socket that is not bound would get another port when it sends.
    socket_ = asio::ip::udp::socket(io_, asio::ip::udp::endpoint(address, local_.port));
    SpawnService(io_, "peer_link", [this]() { return ReceiveLoop(); });
  };
  ListenWithRetry(io_, {"peer_messages", local_, open, [this]() { return !stopped_; }});
}

Awaitable<void> PeerLink::Stop() {
  stopped_ = true;
  boost::system::error_code ignored;
  socket_.close(ignored);
  co_return;
}

Awaitable<void> PeerLink::ReceiveLoop() {
  std::array<char, kMaxDatagramBytes> buffer{};
  while (socket_.is_open()) {
    asio::ip::udp::endpoint from;
    boost::system::error_code failure;
    const size_t size = co_await socket_.async_receive_from(
        asio::buffer(buffer), from, asio::redirect_error(asio::use_awaitable, failure));
    if (failure) {
      // An ICMP error for a datagram sent earlier is reported here; the socket still works.
      if (failure == asio::error::operation_aborted || !socket_.is_open()) co_return;
      continue;
    }
    const std::optional<PeerMessage> message =
        DecodePeerMessage(std::string_view(buffer.data(), size));
    if (!message) {
      LogDebug("datagram_malformed", {{"from", from.address().to_string()}});
      continue;
    }
    if (receiver_) receiver_(*message);
  }
}

}  // namespace fuchsiaweir
