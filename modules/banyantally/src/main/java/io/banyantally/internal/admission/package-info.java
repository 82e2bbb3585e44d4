/** Admission control: fair queueing between client accounts, rate limits, early refusal and retry budgets. */
package io.banyantally.internal.admission;
