#include "gateway/admission.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

#include "core/rendezvous.h"

namespace fuchsiaweir {
namespace {

/// Share of its part of the fleet's retry budget that a gateway uses. The rest covers gateways that
/// get less traffic than their part.
constexpr double kRetryBudgetShare = 0.7;
constexpr Duration kAuthorityRetryAfter = Millis(400);

std::string RequestDigest(const std::string& target, const std::string& team,
                          const std::string& body) {
  return absl::StrCat(absl::Hex(RendezvousHash(absl::StrCat(target, "\n", team, "\n", body))));
}

/// Hash of the parts that other requests may have in common; 0 without a prompt.
uint64_t SharedPrefixHash(const ForwardedRequest& request) {
  if (request.caller.parts.empty()) return 0;
  std::string text;
  for (const std::string& id : request.SharedParts()) absl::StrAppend(&text, id, ",");
  return std::max<uint64_t>(1, RendezvousHash(text));
}

}  // namespace

Refusal AdmissionController::RefuseUnknown(int status, ErrorCode code, std::string reason) const {
  // A newer desired state may have what this one lacks.
  if (!view_.CanRefuseUnknown()) {
    return {503, ErrorCode::kPlatformUnavailable, RunState::kNotRun,
            "the desired state cannot be confirmed", kAuthorityRetryAfter};
  }
  return {status, code, RunState::kNotRun, std::move(reason), Duration{0}};
}

std::optional<Refusal> AdmissionController::Admit(ForwardedRequest& request) {
  const std::shared_ptr<const RouteTable> table = view_.table();
  if (table == nullptr) {
    return Refusal{503, ErrorCode::kPlatformUnavailable, RunState::kNotRun,
                   "no desired state is known yet", kAuthorityRetryAfter};
  }
  const HttpTarget& target = request.exchange.target();
  request.revision = table->revision;
  const Route* const found = FindRoute(*table, request.caller.host, target.routed_path);
  if (found == nullptr) return RefuseUnknown(404, ErrorCode::kNotFound, "no route matches");
  const Route& route = request.route.emplace(*found);
  if (!table->teams.empty() && !route.anonymous) {
    if (!view_.HoldsAuthority()) {
      return Refusal{503, ErrorCode::kPlatformUnavailable, RunState::kNotRun,
                     "API keys cannot be confirmed", kAuthorityRetryAfter};
    }
    const TeamSpec* const team = FindTeam(*table, request.caller.api_key);
    if (team == nullptr) {
      return RefuseUnknown(401, ErrorCode::kUnauthorized, "API key is unknown");
    }
    request.team = *team;
  }
  const Duration time_left = request.caller.time_left.value_or(kDefaultTimeLeft);
  request.deadline = request.arrived_at +
                     (route.timeout > Duration{0} ? std::min(time_left, route.timeout) : time_left);
  // A stream that is resumed stays at the service that began it.
  const std::string& stream =
      request.caller.first_attempt.empty() ? request.caller.id : request.caller.first_attempt;
  request.service =
      ChooseService(route, static_cast<double>(RendezvousHash(stream) >> 11) * 0x1.0p-53);
  request.prefix_hash = route.sticky ? SharedPrefixHash(request) : 0;
  request.last_event_id = request.caller.resume_after;
  std::vector<std::string> home_regions = route.home_regions;
  if (request.team) {
    // A region must be a home of both the route and the team.
    const std::vector<std::string>& team_homes = request.team->home_regions;
    if (home_regions.empty()) {
      home_regions = team_homes;
    } else if (!team_homes.empty()) {
      std::erase_if(home_regions, [&](const std::string& region) {
        return std::find(team_homes.begin(), team_homes.end(), region) == team_homes.end();
      });
    }
  }
  request.closed_data_centres = view_.ClosedDataCentres(home_regions);
  request.traits = RequestTraits(
      RequestDigest(request.exchange.request().target, !request.team ? "" : request.team->name,
                    request.exchange.request().body),
      request.caller.model, request.SharedParts());
  if (const auto refused_for = crash_attribution_.Admit(request, SteadyNow())) {
    return Refusal{503, ErrorCode::kPoisoned, RunState::kNotRun,
                   "the request, or a part of its prompt, crashed several runners", *refused_for};
  }
  // The fleet's budget is divided between all gateways, so their number must be known.
  if (view_.gateways().empty()) return std::nullopt;
  const auto [budget, created] = retry_budgets_.try_emplace(
      request.service, static_cast<int64_t>(view_.settings().retry_ratio * 100 * kRetryBudgetShare),
      static_cast<int64_t>(view_.settings().retry_slack * kRetryBudgetShare /
                           static_cast<double>(view_.gateways().size())));
  budget->second.OnFirstAttempt();
  return std::nullopt;
}

bool AdmissionController::TryConsumeRetry(const std::string& service) {
  const auto budget = retry_budgets_.find(service);
  const bool granted = budget != retry_budgets_.end() && budget->second.TryConsume();
  metrics_
      .Counter("fuchsiaweir_repeated_sends_total", "Requests for one more runner by outcome.",
               {{"outcome", granted ? "granted" : "no_budget"}})
      .Increment();
  return granted;
}

}  // namespace fuchsiaweir
