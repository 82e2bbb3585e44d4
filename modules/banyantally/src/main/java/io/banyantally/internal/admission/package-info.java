/** Admission: fairness between client accounts, limits, early refusal and retry budgets. */
package io.banyantally.internal.admission;
