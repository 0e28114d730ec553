#include "core/service_versions.h"

#include <algorithm>

namespace fuchsiaweir {
namespace {

/// The list of runners may be ahead of the orders: it is read by another call, which a relay may
/// answer.
constexpr Duration kOrderWait = Seconds(3);

}  // namespace

void ServiceVersions::OnListed(const Listed& listed, const std::string& target, bool orders_known,
                               TimePoint now) {
  listed_.clear();
  for (const auto& [version, started_ms] : listed) listed_.insert(version);
  std::erase_if(waiting_since_,
                [&](const auto& waiting) { return listed_.count(waiting.first) == 0; });
  const bool some_accepted = std::any_of(accepted_.begin(), accepted_.end(),
                                         [&](const auto& v) { return listed_.count(v) > 0; });
  const std::string* oldest = nullptr;
  for (const auto& [version, started_ms] : listed) {
    if (accepted_.count(version) > 0 || reverted_.count(version) > 0 || version == target) continue;
    const TimePoint since = waiting_since_.try_emplace(version, now).first->second;
    const bool replaced = replaced_.count(version) > 0;
    if (orders_known && now - since >= kOrderWait && !(replaced && some_accepted)) {
      Accept(version);
    } else if (!replaced && (oldest == nullptr || started_ms < listed.at(*oldest))) {
      oldest = &version;
    }
  }
  // The status of an order may call the only version of the service reverted, if the order named
  // the present version and could not be carried out.
  if (accepted_.empty() && listed.size() == 1 && target.empty()) {
    const std::string& only = listed.begin()->first;
    const TimePoint since = waiting_since_.try_emplace(only, now).first->second;
    if (orders_known && now - since >= kOrderWait) Accept(only);
  }
  // Nothing else serves the service, or this process has just started: the version that is there
  // for longest is the present one.
  if (!some_accepted && accepted_.count(target) == 0 && oldest != nullptr) Accept(*oldest);
}

void ServiceVersions::Accept(const std::string& version) {
  accepted_.insert(version);
  replaced_.erase(version);
  reverted_.erase(version);
  waiting_since_.erase(version);
}

bool ServiceVersions::OnOrder(const std::string& target) {
  reverted_.erase(target);
  replaced_.erase(target);
  const bool others = std::any_of(listed_.begin(), listed_.end(), [&](const std::string& version) {
    return version != target && accepted_.count(version) > 0;
  });
  if (!others && accepted_.count(target) > 0) return false;
  accepted_.erase(target);
  return true;
}

void ServiceVersions::OnDone(const std::string& target) {
  replaced_.insert(accepted_.begin(), accepted_.end());
  replaced_.insert(listed_.begin(), listed_.end());
  accepted_.clear();
  reverted_.erase(target);
  Accept(target);
}

void ServiceVersions::OnReverted(const std::string& target) {
  // An order that cannot be carried out may name the present version.
  const bool others = std::any_of(listed_.begin(), listed_.end(), [&](const std::string& version) {
    return version != target && accepted_.count(version) > 0;
  });
  if (accepted_.count(target) > 0 && !others) return;
  accepted_.erase(target);
  waiting_since_.erase(target);
  reverted_.insert(target);
}

}  // namespace fuchsiaweir
