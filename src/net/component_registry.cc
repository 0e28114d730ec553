#include "net/component_registry.h"

#include "net/log.h"

namespace fuchsiaweir {

void ComponentRegistry::Register(const std::string& name, std::unique_ptr<Component> component) {
  if (FindComponent(name) != nullptr) throw std::logic_error("component added twice: " + name);
  components_.emplace_back(name, std::move(component));
}

Component* ComponentRegistry::FindComponent(const std::string& name) {
  for (const auto& [entry, component] : components_) {
    if (entry == name) return component.get();
  }
  return nullptr;
}

void ComponentRegistry::StartAll() {
  for (const auto& [name, component] : components_) {
    component->Start();
    LogDebug("component_started", {{"component", name}});
  }
}

Awaitable<void> ComponentRegistry::StopAll() {
  for (auto it = components_.rbegin(); it != components_.rend(); ++it) {
    co_await it->second->Stop();
    LogDebug("component_stopped", {{"component", it->first}});
  }
}

}  // namespace fuchsiaweir
