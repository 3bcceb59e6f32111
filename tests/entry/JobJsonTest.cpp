#include "entry/JobJson.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace anvil;

struct BadJob {
  std::string m_Text;
  std::string m_Field;
};

std::string jobWith(const std::string &Extra) {
  return R"({"workspace":"w","name":"n","tasks":2,"per_task":{"accelerators":1})" +
         Extra + "}";
}

} // namespace

BOOST_AUTO_TEST_SUITE(JobJsonTest)

// Guards against a field that is ignored or stored in the wrong unit.
BOOST_AUTO_TEST_CASE(ReadsAllFields) {
  wire::JobSpec Spec;
  entry::JsonProblem Problem;
  const std::string Text =
      R"({"workspace":"w","name":"n","tasks":2,"adjacency":"vm","adjacency_required":true,
    "per_task":{"accelerators":4,"cores":16,"memory_gib":64},"urgency":"overnight","deadline_ms":60000,
    "idempotent":true,"checkpointable":true,"estimate_ms":1000,"lease_ms":30000,"payload":"sieve"})";

  BOOST_REQUIRE_MESSAGE(entry::parseJob(Text, Spec, Problem),
                        Problem.m_Field << ": " << Problem.m_Message);

  BOOST_TEST(Spec.perTask.accelerators == 4);
  BOOST_TEST(Spec.perTask.memoryMib == 65536);
  BOOST_TEST((Spec.adjacency == wire::Adjacency::VM && Spec.adjacencyRequired));
  BOOST_TEST((Spec.urgency == wire::Urgency::OVERNIGHT && Spec.idempotent &&
              Spec.checkpointable));
  BOOST_TEST(Spec.deadlineMs == 60000);
  BOOST_TEST(Spec.leaseMs == 30000);
  BOOST_TEST(Spec.payload == "sieve");
}

// Guards against invalid input that is accepted with a default value, and
// against an error that names another field.
BOOST_AUTO_TEST_CASE(NamesTheWrongField) {
  for (
      const BadJob &Case :
      {BadJob{"", ""},
       {"[]", ""},
       {"{", ""},
       {"{} x", ""},
       {"{}", "workspace"},
       {jobWith(R"(,"tasks":2)"), "tasks"},
       {jobWith(R"(,"lease_ms":"60s")"), "lease_ms"},
       {jobWith(R"(,"lease_ms":7200001)"), "lease_ms"},
       {jobWith(R"(,"deadline_ms":1.5)"), "deadline_ms"},
       {jobWith(R"(,"idempotent":1)"), "idempotent"},
       {jobWith(R"(,"urgency":"now")"), "urgency"},
       {jobWith(R"(,"gpus":1)"), "gpus"},
       {R"({"workspace":"w","name":"n","tasks":0,"per_task":{"cores":1}})",
        "tasks"},
       {R"({"workspace":"w","name":"n","tasks":1,"per_task":[]})", "per_task"},
       {R"({"workspace":"w","name":"n","tasks":1,"per_task":{}})", "per_task"},
       {R"({"workspace":"w","name":"n","tasks":1,"per_task":{"cores":1,"cores":2}})",
        "per_task.cores"},
       {R"({"workspace":"w","name":"n","tasks":1,"per_task":{"core":1}})",
        "per_task.core"}}) {
    wire::JobSpec Spec;
    entry::JsonProblem Problem;
    BOOST_TEST(!entry::parseJob(Case.m_Text, Spec, Problem), Case.m_Text);
    BOOST_TEST(Problem.m_Field == Case.m_Field,
               Case.m_Text << ": " << Problem.m_Field << " "
                           << Problem.m_Message);
    BOOST_TEST(!Problem.m_Message.empty());
  }
}

BOOST_AUTO_TEST_SUITE_END()
