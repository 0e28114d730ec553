#include "gateway/held_answer.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

#include "net/log.h"

namespace fuchsiaweir {
namespace {

/// A faulty runner may announce any length. Larger answers get no room in advance.
constexpr int64_t kMaxExpectedBytes = 8'000'000;

int64_t AnnouncedBytes(const RunnerHeader& header) {
  int64_t bytes = 0;
  if (!absl::SimpleAtoi(HeaderValue(header.fields, "Content-Length"), &bytes)) return 0;
  return std::clamp<int64_t>(bytes, 0, kMaxExpectedBytes);
}

}  // namespace

std::unique_ptr<MemoryBudget::Share> HoldAnswer(MemoryBudget& memory, ForwardedRequest& request,
                                                const RunnerHeader& header) {
  auto share =
      std::make_unique<MemoryBudget::Share>(memory, MemoryUse::kAnswer, [&memory, &request]() {
        LogWarning(request.delivering ? "answer_not_read" : "answer_too_large",
                   {{"request", request.caller.id},
                    {"runner", request.runner},
                    {"held_bytes", absl::StrCat(memory.used_bytes(MemoryUse::kAnswer))}});
        if (request.channel != nullptr) request.channel->Close();
        if (request.delivering) request.exchange.Abort();
      });
  share->Expect(AnnouncedBytes(header));
  return share;
}

MemoryBudget::Share* BeginDelivery(ForwardedRequest& request, MemoryBudget::Share* memory) {
  request.delivering = true;
  if (memory != nullptr) memory->SetPhase(MemoryBudget::Phase::kDelivering);
  return memory;
}

}  // namespace fuchsiaweir
