#include "core/source_choice.h"

namespace fuchsiaweir {
namespace {

/// Time in which a relay that was not current is passed over. It costs the store one call a second
/// of each process that would use the relay.
constexpr Duration kRelayPause = Seconds(3);
/// While reads fail, the store is tried again with every third one, between other gateways.
constexpr int64_t kStoreTurn = 3;

}  // namespace

ReadSource SourceChoice::Next(bool has_relay, bool store_rejects, TimePoint now) const {
  if (failures_ == 0 && has_relay && now >= relay_passed_over_until_) {
    return ReadSource::kPreferredRelay;
  }
  const bool store_turn = failures_ % kStoreTurn == 0 || last_ == ReadSource::kPreferredRelay;
  return store_turn && !store_rejects ? ReadSource::kStore : ReadSource::kOtherGateway;
}

void SourceChoice::OnRead(ReadSource source, bool current, TimePoint now) {
  last_ = source;
  failures_ = current ? 0 : failures_ + 1;
  if (!current && source == ReadSource::kPreferredRelay) {
    relay_passed_over_until_ = now + kRelayPause;
  }
}

}  // namespace fuchsiaweir
