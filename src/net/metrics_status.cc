#include "net/metrics_status.h"

#include <absl/strings/str_cat.h>

#include <boost/asio/io_context.hpp>
#include <iostream>
#include <optional>
#include <utility>

#include "core/metrics_text.h"
#include "net/awaitable.h"
#include "net/http_client.h"

namespace fuchsiaweir {
namespace {

// Processes respond within milliseconds. The timeout keeps a hung process from delaying the others.
constexpr Duration kMetricsTimeout = Seconds(2);

struct Row {
  std::string address;
  std::string failure;  ///< Empty if the metrics were read.
  std::optional<MetricsText> metrics;
};

/// One printed value: the sum of a metric's series.
struct Column {
  const char* name;
  const char* metric;
  const char* label;  ///< Only series with this label count; empty: all series.
};

constexpr Column kColumns[] = {
    {"ready", "fuchsiaweir_ready", ""},
    {"revision", "fuchsiaweir_desired_state_revision", ""},
    {"authority_age_ms", "fuchsiaweir_authority_age_ms", ""},
    {"kinds_failing", "fuchsiaweir_store_kinds_failing", ""},
    {"runners", "fuchsiaweir_runners", ""},
    {"runners_avoided", "fuchsiaweir_runners", "state=\"avoided\""},
    {"in_flight", "fuchsiaweir_requests_in_flight", ""},
    {"delivered", "fuchsiaweir_requests_total", "outcome=\"delivered\""},
    {"refused", "fuchsiaweir_requests_total", "outcome=\"refused\""},
    {"cut", "fuchsiaweir_requests_total", "outcome=\"cut\""},
    {"rollouts", "fuchsiaweir_rollouts_in_progress", ""},
    {"sent_on_trial", "fuchsiaweir_rollout_requests", "which=\"on_trial\""},
    {"no_retry_budget", "fuchsiaweir_repeated_sends_total", "outcome=\"no_budget\""},
};

Awaitable<Row> ReadMetrics(HttpClient& client, std::string address) {
  Row row;
  row.address = address;
  HttpRequest request{"GET", "/metrics", {}, ""};
  CallOptions options;
  options.timeout = kMetricsTimeout;
  options.connect_timeout = kMetricsTimeout;
  Endpoint endpoint = ParseEndpoint(address);
  if (endpoint.port == 0) {
    row.failure = "not ADDRESS:PORT";
    co_return row;
  }
  const HttpResult result = co_await client.Call(std::move(endpoint), std::move(request), options);
  if (result.ok()) {
    row.metrics = MetricsText(result.response->body);
  } else {
    row.failure = result.response ? absl::StrCat("HTTP status ", result.response->status)
                                  : std::string(result.failure);
  }
  co_return row;
}

Awaitable<void> ReadAll(boost::asio::io_context& io, HttpClient& client,
                        const std::vector<std::string>& addresses, std::vector<Row>& rows) {
  for (const std::string& address : addresses) {
    Row row = co_await ReadMetrics(client, address);
    rows.push_back(std::move(row));
  }
  io.stop();
}

std::string ToText(const Row& row) {
  if (!row.metrics) return absl::StrCat(row.address, " no_answer: ", row.failure, "\n");
  std::string line = row.address;
  for (const Column& column : kColumns) {
    absl::StrAppend(&line, " ", column.name, "=", row.metrics->Sum(column.metric, column.label));
  }
  return line + "\n";
}

boost::json::object ToJson(const Row& row) {
  boost::json::object object{{"address", row.address}, {"answers", row.metrics.has_value()}};
  if (!row.metrics) {
    object["failure"] = row.failure;
    return object;
  }
  for (const Column& column : kColumns) {
    object[column.name] = row.metrics->Sum(column.metric, column.label);
  }
  return object;
}

}  // namespace

ExitCode PrintMetricsStatus(const std::vector<std::string>& addresses) {
  boost::asio::io_context io(1);
  HttpClient client(io, nullptr);
  std::vector<Row> rows;
  Spawn(io, "metrics_status", [&]() { return ReadAll(io, client, addresses, rows); });
  io.run();
  bool all_read = true;
  boost::json::array processes;
  for (const Row& row : rows) {
    all_read = all_read && row.metrics.has_value();
    if (JsonOutput()) {
      processes.push_back(ToJson(row));
    } else {
      std::cout << ToText(row);
    }
  }
  if (JsonOutput()) {
    std::cout << boost::json::serialize(boost::json::object{{"processes", std::move(processes)}})
              << "\n";
  }
  return all_read ? ExitCode::kDone : ExitCode::kFailed;
}

}  // namespace fuchsiaweir
