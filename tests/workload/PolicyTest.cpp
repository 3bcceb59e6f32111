#include <boost/test/unit_test.hpp>

#include "WorkloadFixture.h"

namespace anvil::workload {
namespace {

// Guards against accepting an invalid document; each row breaks one rule.
BOOST_AUTO_TEST_CASE(RefusesInvalidDocuments) {
  struct Row {
    const char *m_Rule;
    std::function<void(wire::PolicyDocument &)> m_Break;
  };
  const Row Rows[] = {
      {"version", [](auto &Policy) { Policy.version = 0; }},
      {"unknown service",
       [](auto &Policy) { Policy.queues[0].serviceName = "x"; }},
      {"same place",
       [](auto &Policy) {
         Policy.queues.push_back(Policy.queues[0]);
         Policy.queues[1].name = "second";
       }},
      {"same queue name",
       [](auto &Policy) {
         Policy.queues.push_back(Policy.queues[0]);
         Policy.queues[1].pathPrefix = "/other/";
       }},
      {"no timeout", [](auto &Policy) { Policy.queues[0].timeoutMs = 0; }},
      {"no attempt", [](auto &Policy) { Policy.queues[0].maxAttempts = 0; }},
      {"shared key",
       [](auto &Policy) {
         Policy.workspaces.push_back(Policy.workspaces[0]);
         Policy.workspaces[1].name = "second";
       }},
      {"same workspace name",
       [](auto &Policy) {
         Policy.workspaces.push_back(Policy.workspaces[0]);
         Policy.workspaces[1].keys = {"key-2"};
       }},
      {"same service name",
       [](auto &Policy) { Policy.services.push_back(Policy.services[0]); }},
  };
  BOOST_TEST(checkPolicy(makePolicy(1)).ok());
  for (const Row &Each : Rows) {
    wire::PolicyDocument Policy = makePolicy(1);
    Each.m_Break(Policy);
    const absl::Status Status = checkPolicy(Policy);
    BOOST_TEST(
        (layerErrorOf<WorkloadErrc>(Status) == WorkloadErrc::InvalidPolicy),
        Each.m_Rule << " was not refused");
  }
}

// Guards against assigning a request to the wrong queue.
BOOST_AUTO_TEST_CASE(FindsTheQueueOfTheLongestPrefix) {
  wire::PolicyDocument Policy = makePolicy(1);
  wire::QueuePolicy Longer = Policy.queues[0];
  Longer.name = "urgent";
  Longer.pathPrefix = "/q/urgent/";
  Policy.queues.push_back(Longer);
  BOOST_TEST(findQueue(Policy, "quotes.example", "/q/1")->name == "quotes");
  BOOST_TEST(findQueue(Policy, "QUOTES.example", "/q/urgent/1")->name ==
             "urgent");
  BOOST_TEST(findQueue(Policy, "other.example", "/q/1") == nullptr);
  BOOST_TEST(findQueue(Policy, "quotes.example", "/x/1") == nullptr);
}

// Guards against a key that gives access to another workspace, or an unknown
// key that gives access to any.
BOOST_AUTO_TEST_CASE(FindsTheWorkspaceOfAKey) {
  const wire::PolicyDocument Policy = makePolicy(1);
  BOOST_TEST(workspaceOf(Policy, "key-1")->name == "team");
  BOOST_TEST(workspaceOf(Policy, "key-2") == nullptr);
  BOOST_TEST(workspaceOf(Policy, "") == nullptr);
}

// Guards against accepting a job that can't be executed; each row breaks one
// rule.
BOOST_AUTO_TEST_CASE(RefusesInvalidJobs) {
  struct Row {
    const char *m_Rule;
    std::function<void(wire::WorkloadSpec &)> m_Break;
  };
  const Row Rows[] = {
      {"no step", [](auto &Spec) { Spec.steps.clear(); }},
      {"no task", [](auto &Spec) { Spec.steps[0].tasks = 0; }},
      {"too many tasks", [](auto &Spec) { Spec.steps[0].tasks = 1'000'000; }},
      {"negative amount",
       [](auto &Spec) { Spec.steps[0].perTask.memoryMib = -1; }},
      {"depends on itself", [](auto &Spec) { Spec.steps[0].dependsOn = {0}; }},
      {"depends on a later step",
       [](auto &Spec) { Spec.steps[0].dependsOn = {1}; }},
      {"negative repetition", [](auto &Spec) { Spec.repeats = -1; }},
      {"negative limit",
       [](auto &Spec) { Spec.steps[0].maxTasksPerWorker = -1; }},
  };
  BOOST_TEST(checkSpec(makeSpec({makeStep(1), makeStep(2)})).ok());
  for (const Row &Each : Rows) {
    wire::WorkloadSpec Spec = makeSpec({makeStep(1), makeStep(2)});
    Each.m_Break(Spec);
    BOOST_TEST((layerErrorOf<WorkloadErrc>(checkSpec(Spec)) ==
                WorkloadErrc::InvalidSpec),
               Each.m_Rule << " was not refused");
  }
}

} // namespace
} // namespace anvil::workload
