#ifndef FUCHSIAWEIR_CORE_INVENTORY_H_
#define FUCHSIAWEIR_CORE_INVENTORY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/findings.h"
#include "core/ini_document.h"

namespace fuchsiaweir {

/// A data centre. Operators can take it out of service.
struct DataCentre {
  std::string name;
  std::string region;
  bool in_service = true;
};

/// A host that runs one fuchsiaweir process.
struct Host {
  std::string name;
  std::string data_centre;
  std::string address;  ///< IP address without port.
  int64_t port = 0;     ///< Port of the fuchsiaweir process.
  std::string role;     ///< "entry" or "agent".
  bool in_service = true;
};

/// A model engine on an agent's host.
struct Runner {
  std::string name;
  std::string host;
  std::string model;
  std::string address;
  int64_t port = 0;
  bool checks_fence = true;     ///< The engine rejects orders with an outdated fencing token.
  int64_t cold_limit = 1;       ///< Maximum number of concurrent runs during cold start.
  int64_t warm_up_runs = 4;     ///< Number of completed runs after which the runner is warm.
  int64_t max_concurrent = 16;  ///< Maximum number of concurrent runs when warm.
  int64_t prefill_tokens_per_second = 8000;
  int64_t cache_blocks = 64;  ///< Capacity of accelerator memory in KV blocks.
};

/// A store for retained KV blocks.
struct Store {
  std::string name;
  std::string data_centre;
  std::string address;
  int64_t port = 0;
  int64_t capacity_blocks = 1024;
  int64_t link_bytes_per_second = 1'000'000'000;
};

/// A replica of a plain service on an agent's host. Replicas have the same `service` value.
struct Service {
  std::string name;  ///< Name of the replica.
  std::string service;
  std::string host;
  std::string address;
  int64_t port = 0;
  std::vector<std::string> non_idempotent;  ///< Path prefixes whose POST calls must not be retried.
};

/// A team of callers, identified by the digests of its bearer keys.
struct Team {
  std::string name;
  std::vector<std::string> key_digests;  ///< SHA-256 of each valid key, in hex.
  int64_t weight = 1;                    ///< Weight in the fair queues.
  int64_t max_concurrent = 64;
  int64_t tokens_per_second = 100'000;
};

/// A model and the version of its weights that new requests use.
struct Model {
  std::string name;
  std::string version;
  std::string adapter;
  std::string tokenizer = "whitespace";
  int64_t block_tokens = 2000;
  int64_t kv_bytes_per_token = 16;
};

/// Rules that apply to the whole deployment.
struct Rules {
  int64_t request_deadline_ms = 60'000;
  int64_t progress_deadline_ms = 5'000;
  int64_t attach_window_ms = 10'000;
  int64_t max_queue = 256;
  int64_t retry_budget_percent = 10;
  int64_t bid_candidates = 6;
  int64_t healthy_token_ms = 46;
  int64_t claim_lifetime_s = 86'400;
  int64_t weight_loads = 2;
  int64_t order_lease_ms = 10'000;
};

/// The deployment as declared by the operators.
struct Inventory {
  std::vector<DataCentre> data_centres;
  std::vector<Host> hosts;
  std::vector<Runner> runners;
  std::vector<Store> stores;
  std::vector<Service> services;
  std::vector<Team> teams;
  std::vector<Model> models;
  Rules rules;
};

/// Parses and validates an inventory file. Returns nullopt if it added a finding.
std::optional<Inventory> ParseInventory(const IniDocument& document, Findings& findings);

/// Returns the element with this name, or null.
template <typename T>
const T* FindByName(const std::vector<T>& items, std::string_view name) {
  for (const T& item : items) {
    if (item.name == name) return &item;
  }
  return nullptr;
}

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_INVENTORY_H_
