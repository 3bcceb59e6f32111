#include "entry/JobJson.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace anvil;

struct BadJob {
  std::string m_Text;
  std::string m_Field;
};

std::string jobWith(const std::string &Extra) {
  return R"({"workspace":"w","name":"n","tasks":2,"perTask":{"accelerators":1})" + Extra + "}";
}

} // namespace

BOOST_AUTO_TEST_SUITE(JobJsonTest)

// Guards against fields that are dropped or read in another unit.
BOOST_AUTO_TEST_CASE(ReadsAllFields) {
  wire::JobSpec Spec;
  entry::JsonProblem Problem;
  const std::string Text = R"({"workspace":"w","name":"n","tasks":2,"adjacency":"vm","adjacencyRequired":true,
    "perTask":{"accelerators":4,"cores":16,"memoryMib":65536},"urgency":"overnight","deadlineMs":60000,
    "idempotent":true,"checkpointable":true,"estimateMs":1000,"leaseMs":30000,"payload":"sieve"})";

  BOOST_REQUIRE_MESSAGE(entry::parseJob(Text, Spec, Problem), Problem.m_Field << ": " << Problem.m_Message);

  BOOST_TEST(Spec.perTask.accelerators == 4);
  BOOST_TEST(Spec.perTask.memoryMib == 65536);
  BOOST_TEST((Spec.adjacency == wire::Adjacency::VM && Spec.adjacencyRequired));
  BOOST_TEST((Spec.urgency == wire::Urgency::OVERNIGHT && Spec.idempotent && Spec.checkpointable));
  BOOST_TEST(Spec.deadlineMs == 60000);
  BOOST_TEST(Spec.leaseMs == 30000);
  BOOST_TEST(Spec.payload == "sieve");
}

// Guards against input that is accepted with a default in place of what the caller meant.
BOOST_AUTO_TEST_CASE(NamesTheWrongField) {
  for (const BadJob &Case :
       {BadJob{"", ""},
        {"[]", ""},
        {"{", ""},
        {"{} x", ""},
        {"{}", "workspace"},
        {jobWith(R"(,"tasks":2)"), "tasks"},
        {jobWith(R"(,"leaseMs":"60s")"), "leaseMs"},
        {jobWith(R"(,"leaseMs":7200001)"), "leaseMs"},
        {jobWith(R"(,"deadlineMs":1.5)"), "deadlineMs"},
        {jobWith(R"(,"idempotent":1)"), "idempotent"},
        {jobWith(R"(,"urgency":"now")"), "urgency"},
        {jobWith(R"(,"gpus":1)"), "gpus"},
        {R"({"workspace":"w","name":"n","tasks":0,"perTask":{"cores":1}})", "tasks"},
        {R"({"workspace":"w","name":"n","tasks":1,"perTask":[]})", "perTask"},
        {R"({"workspace":"w","name":"n","tasks":1,"perTask":{}})", "perTask"},
        {R"({"workspace":"w","name":"n","tasks":1,"perTask":{"cores":1,"cores":2}})", "perTask.cores"},
        {R"({"workspace":"w","name":"n","tasks":1,"perTask":{"core":1}})", "perTask.core"}}) {
    wire::JobSpec Spec;
    entry::JsonProblem Problem;
    BOOST_TEST(!entry::parseJob(Case.m_Text, Spec, Problem), Case.m_Text);
    BOOST_TEST(Problem.m_Field == Case.m_Field, Case.m_Text << ": " << Problem.m_Field << " " << Problem.m_Message);
    BOOST_TEST(!Problem.m_Message.empty());
  }
}

BOOST_AUTO_TEST_SUITE_END()
