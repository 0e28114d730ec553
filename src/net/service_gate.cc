#include "net/service_gate.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

#include "core/json_fields.h"
#include "net/log.h"

namespace fuchsiaweir {
namespace {

struct TightenRequest {
  ServiceScope scope = ServiceScope::kHost;
  std::string name;
  Duration validity{0};
};

Result<TightenRequest> DecodeTighten(const std::string& body) {
  try {
    const boost::json::object object = ParseJsonObject(body);
    const bool whole = object.contains("data_centre");
    if (whole == object.contains("host")) {
      throw std::runtime_error("either \"data_centre\" or \"host\" is needed");
    }
    const int64_t seconds = std::clamp<int64_t>(IntegerField(object, "seconds"), 0,
                                                kMaxTightenValidity / Seconds(1) + 1);
    return TightenRequest{whole ? ServiceScope::kDataCentre : ServiceScope::kHost,
                          StringField(object, whole ? "data_centre" : "host"), Seconds(seconds)};
  } catch (const std::exception& e) {
    return Error{ErrorCode::kBadRequest, RunState::kNotRun,
                 absl::StrCat("malformed tighten order: ", DecodeErrorMessage(e)), Duration{0}};
  }
}

}  // namespace

ServiceGate::ServiceGate(const Settings& settings, ConfigService& config, Membership& membership)
    : settings_(settings), config_(config), membership_(membership) {}

const ServiceStates& ServiceGate::States() {
  std::shared_ptr<const ConfigSnapshot> config = config_.current();
  const std::shared_ptr<const Membership::Hosts>& hosts = membership_.hosts();
  const TimePoint now = SteadyNow();
  const bool current =
      config == computed_for_config_ && hosts == computed_for_hosts_ && now < computed_until_;
  if (current) return states_;
  computed_for_config_ = std::move(config);
  computed_for_hosts_ = hosts;
  computed_until_ = TimePoint::max();
  for (const TightenOrder& order : orders_) {
    if (now < order.expires) computed_until_ = std::min(computed_until_, order.expires);
  }
  states_ = ServiceStates(ServiceView{computed_for_config_->inventory, *hosts, orders_, now});
  ++generation_;
  return states_;
}

int64_t ServiceGate::generation() {
  States();
  return generation_;
}

std::optional<Error> ServiceGate::RefusalOfNewWork() {
  const ServiceState state = OwnHostState();
  if (state == ServiceState::kAccepting) return std::nullopt;
  return Error{
      ErrorCode::kOutOfService, RunState::kNotRun,
      absl::StrCat("host ", settings_.host, " is out of service: ", std::string(Name(state))),
      Duration{0}};
}

Result<TightenOrder> ServiceGate::Tighten(const std::string& body) {
  const Result<TightenRequest> request = DecodeTighten(body);
  if (!request) return request.error();
  const TightenRequest& order = request.value();
  const std::shared_ptr<const ConfigSnapshot> config = config_.current();
  const ServiceView view{config->inventory, *membership_.hosts(), orders_, SteadyNow()};
  Result<std::vector<TightenOrder>> orders =
      AddTightenOrder(view, order.scope, order.name, order.validity);
  if (!orders) return orders.error();
  orders_ = std::move(orders.value());
  computed_until_ = TimePoint{};
  return orders_.back();
}

Awaitable<void> ServiceGate::ServeTighten(HttpExchange& exchange) {
  const Result<TightenOrder> order = Tighten(exchange.request().body);
  HttpResponse response;
  if (order) {
    const Duration left = order.value().expires - SteadyNow();
    LogWarning("tightened",
               {{"name", order.value().name}, {"seconds", absl::StrCat(ToSeconds(left))}});
    const boost::json::object body{{"name", order.value().name}, {"expires_ms", ToMillis(left)}};
    response = JsonResponse(200, boost::json::serialize(body));
  } else {
    response = ErrorResponse(order.error());
  }
  co_await exchange.Respond(std::move(response));
}

}  // namespace fuchsiaweir
