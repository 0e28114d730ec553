#ifndef FUCHSIAWEIR_NET_COMPONENT_REGISTRY_H_
#define FUCHSIAWEIR_NET_COMPONENT_REGISTRY_H_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "net/awaitable.h"

namespace fuchsiaweir {

/// A named part of a process. Parts find each other through the components by name.
class Component {
 public:
  virtual ~Component() = default;

  /// Begins work. Components start in the order in which they were added.
  virtual void Start() {}
  /// Ends work without cutting requests short. Components stop in reverse order.
  virtual Awaitable<void> Stop() { co_return; }
};

/// Registry of a process's components with their start and stop order.
class ComponentRegistry {
 public:
  explicit ComponentRegistry(boost::asio::io_context& io) : io_(io) {}

  /// Adds a component under a name and returns it. A name that is taken throws std::logic_error.
  template <typename T, typename... Args>
  T& Add(const std::string& name, Args&&... args) {
    auto component = std::make_unique<T>(std::forward<Args>(args)...);
    T& reference = *component;
    Register(name, std::move(component));
    return reference;
  }

  /// Returns the component with this name. A missing one or one of another type throws
  /// std::logic_error, since the process is then put together wrongly.
  template <typename T>
  T& Find(const std::string& name) {
    T* component = dynamic_cast<T*>(FindComponent(name));
    if (component == nullptr) throw std::logic_error("no such component: " + name);
    return *component;
  }

  void StartAll();
  Awaitable<void> StopAll();

  boost::asio::io_context& io() { return io_; }

 private:
  void Register(const std::string& name, std::unique_ptr<Component> component);
  Component* FindComponent(const std::string& name);

  boost::asio::io_context& io_;
  std::vector<std::pair<std::string, std::unique_ptr<Component>>> components_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_COMPONENT_REGISTRY_H_
